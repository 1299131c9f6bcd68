"""Polling of the servers of owned pools."""

import asyncio

from tests.admission import fake_faults
from tests.admission.engine_reports.fake_engine_reports import (
    FakeEngineReports,
)
from tests.admission.fake_fleet import FakeFleet
from tests.admission.simulated_loop import simulate

SLOTS = 4
UNKNOWN_REQUESTS = 3


def test_load_of_unknown_routers_counts(fleet: FakeFleet) -> None:
    """Guards against overload by requests of routers unknown to the owner."""

    async def scenario() -> None:
        engine = fleet.add_server('s1', slots=SLOTS)
        reports = FakeEngineReports(fleet)
        engine.in_flight = UNKNOWN_REQUESTS
        router = await fleet.add_router('r1', services=(reports,))
        await asyncio.sleep(1)
        engine.peak = 0
        fleet.flood(router, 'small')
        await asyncio.sleep(5)
        assert engine.peak == SLOTS
        engine.in_flight -= UNKNOWN_REQUESTS
        engine.peak = 0
        served = engine.served
        await asyncio.sleep(5)
        # The freed slots are used again, but no further slots.
        assert engine.peak == SLOTS
        # 10 requests a second per slot; the report is up to 1 s late.
        assert engine.served - served >= 4 * SLOTS * 10
        await fleet.stop()

    simulate(scenario())


def test_only_the_owner_polls(fleet: FakeFleet) -> None:
    """Guards against servers polled by the whole fleet, or by no router."""

    async def scenario() -> None:
        fleet.add_server('s1', slots=SLOTS)
        reports = {
            name: FakeEngineReports(fleet) for name in ('r0', 'r1', 'r2')
        }
        for vm, reader in reports.items():
            await fleet.add_router(vm, services=(reader,))
        await asyncio.sleep(2)
        owner = fake_faults.owner(fleet)
        for _ in range(2):
            for source in reports.values():
                source.polls = 0
            await asyncio.sleep(5)
            polls = {name: known.polls for name, known in reports.items()}
            assert 4 <= polls.pop(owner) <= 6
            assert not any(polls.values())
            reports.pop(owner)
            await fleet.kill(owner)
            fleet.announce_members()
            await asyncio.sleep(1)
            owner = fake_faults.owner(fleet)
        await fleet.stop()

    simulate(scenario())


def test_leaving_server_gets_no_grants(fleet: FakeFleet) -> None:
    """Guards against new requests to a server that reports leaving."""

    async def scenario() -> None:
        engine = fleet.add_server('s1', slots=SLOTS)
        reports = FakeEngineReports(fleet, leaving=True)
        router = await fleet.add_router('r1', services=(reports,))
        await asyncio.sleep(1)
        fleet.flood(router, 'small')
        await asyncio.sleep(3)
        assert engine.served == 0
        reports.leaving = False
        await asyncio.sleep(3)
        assert engine.served > 0
        await fleet.stop()

    simulate(scenario())
