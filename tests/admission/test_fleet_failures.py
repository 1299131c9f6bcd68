"""Failures of routers, owners and links while requests wait."""

import asyncio

import pytest

from pollenloom.admission.settlement import Settlement
from pollenloom.core.ids import VmId
from pollenloom.core.states import DataCentreState, Outcome
from pollenloom.settings.router_settings import AdmissionSettings
from tests.admission import fake_faults
from tests.admission.fake_fleet import FakeFleet
from tests.admission.fake_settings import ENSCHEDE, HENGELO
from tests.admission.simulated_loop import simulate

DETECTION_SECONDS = 1.0


async def start(fleet: FakeFleet, routers: int) -> None:
    for number in range(routers):
        await fleet.add_router(f'r{number}')
    await asyncio.sleep(1)


@pytest.mark.parametrize('routers', [1, 3, 8])
def test_requests_get_grants(fleet: FakeFleet, routers: int) -> None:
    """Guards against idle slots while requests wait, and leaked slots."""

    async def scenario() -> None:
        engine = fleet.add_server('s1', slots=4)
        await start(fleet, routers)
        began = asyncio.get_running_loop().time()
        for router in fleet.routers.values():
            assert await fleet.serve(router, 'small', 10)
        waited = asyncio.get_running_loop().time() - began - 0.01 * routers
        # Idle capacity is granted in one round trip, not at the next tick.
        assert waited <= 0.002 * routers + 1e-6
        fleet.served.clear()
        for router in fleet.routers.values():
            fleet.flood(router, 'small')
        sent = fleet.links.sent
        await asyncio.sleep(10)
        assert engine.peak == 4
        assert fleet.served['small'] >= 0.95 * 4 * 10_000
        requests = fleet.served['small'] / 100
        assert fleet.links.sent - sent <= 3.2 * requests
        await fleet.stop_callers(*fleet.tasks)
        await asyncio.sleep(3)
        assert fake_faults.open_grants(fleet) == 0
        assert engine.in_flight == 0
        await fleet.stop()

    simulate(scenario())


def test_killed_owner_is_replaced(fleet: FakeFleet) -> None:
    """Guards against overload or idle slots after a takeover.

    The new owner has to learn of the grants that the killed one gave.
    """

    async def scenario() -> None:
        engine = fleet.add_server('s1', slots=6)
        await start(fleet, 5)
        owner = fake_faults.owner(fleet)
        for name, router in fleet.routers.items():
            if name != owner:
                # Few callers each, so that all routers hold some grants.
                fleet.flood(router, 'small', lambda: 2500, callers=2)
        await asyncio.sleep(5.2)
        await fleet.kill(owner)
        await asyncio.sleep(DETECTION_SECONDS)
        fleet.announce_members()
        fleet.served.clear()
        await asyncio.sleep(20)
        assert engine.peak == 6
        assert fleet.served['small'] >= 0.8 * 6 * 20_000
        await fleet.stop_callers(*fleet.tasks)
        await asyncio.sleep(15)
        assert fake_faults.open_grants(fleet) == 0
        await fleet.stop()

    simulate(scenario())


@pytest.mark.parametrize('fenced', [True, False])
def test_paused_owner_resumes(
    fleet: FakeFleet,
    monkeypatch: pytest.MonkeyPatch,
    fenced: bool,
) -> None:
    """Guards against grants that a paused owner gives from outdated state.

    With fencing and the owner's pause detection off, the same run exceeds
    the slots.
    """

    async def scenario() -> None:
        engine = fleet.add_server('s1', slots=6)
        await start(fleet, 5)
        owner = fake_faults.owner(fleet)
        if not fenced:
            for router in fleet.routers.values():
                admission = router.allocator_admission
                monkeypatch.setattr(
                    admission.scope.epochs,
                    'observe',
                    lambda *_: True,
                )
                admission.owners.pause_detector.limit_seconds = 1e9
        for name, router in fleet.routers.items():
            if name != owner:
                fleet.flood(router, 'small', lambda: 700)
        await asyncio.sleep(5.1)
        fake_faults.pause(fleet, owner)
        paused = fleet.members.pop(fleet.routers[owner].peers.vm)
        await asyncio.sleep(DETECTION_SECONDS)
        for name, router in fleet.routers.items():
            if name != owner:
                router.membership.set_members(fleet.members)
        await asyncio.sleep(8)
        fake_faults.resume(fleet, owner)
        await asyncio.sleep(0.3)
        fleet.members[paused.vm] = paused
        fleet.announce_members()
        await asyncio.sleep(10)
        assert (engine.peak <= 6) == fenced
        await fleet.stop()

    simulate(scenario())


def test_paused_router_uses_no_old_grant(fleet: FakeFleet) -> None:
    """Guards against a router that uses a grant from before its pause.

    The owner has presumed the router dead and given the slot to another.
    """

    async def scenario() -> None:
        engine = fleet.add_server('s1', slots=1)
        await start(fleet, 4)
        owner = fake_faults.owner(fleet)
        names = [name for name in fleet.routers if name != owner]
        paused, other = fleet.routers[names[0]], fleet.routers[names[1]]
        await asyncio.sleep(0.1)
        request = asyncio.create_task(fleet.serve(paused, 'small', 100))
        await asyncio.sleep(0.0015)
        fake_faults.pause(fleet, names[0])
        await asyncio.sleep(DETECTION_SECONDS)
        paused_member = fleet.members.pop(paused.peers.vm)
        for router in fleet.routers.values():
            if router is not paused:
                router.membership.set_members(fleet.members)
        # The owner has freed the slot of the paused router.
        fleet.flood(other, 'small')
        await asyncio.sleep(5)
        fake_faults.resume(fleet, names[0])
        fleet.members[paused_member.vm] = paused_member
        fleet.announce_members()
        assert await request
        assert engine.peak == 1
        await fleet.stop()

    simulate(scenario())


@pytest.mark.parametrize('detected', [True, False])
def test_grants_of_a_lost_router_are_freed(
    fleet: FakeFleet,
    detected: bool,
) -> None:
    """Guards against slots that stay occupied by a dead or restarted router.

    With `detected` off, the router restarts before the others notice.
    """

    async def scenario() -> None:
        engine = fleet.add_server('s1', slots=4)
        await start(fleet, 3)
        owner = fake_faults.owner(fleet)
        lost, kept = [name for name in fleet.routers if name != owner]
        fleet.flood(fleet.routers[lost], 'small', lambda: 60_000)
        await asyncio.sleep(1)
        assert engine.in_flight == 4
        await fleet.kill(lost)
        if detected:
            fleet.announce_members()
        else:
            await fleet.add_router(lost)
            assert await fleet.serve(fleet.routers[lost], 'small', 10)
        fleet.flood(fleet.routers[kept], 'large')
        await asyncio.sleep(2)
        assert engine.in_flight == 4
        await fleet.stop()

    simulate(scenario())


@pytest.mark.parametrize('copies', [1, 2])
def test_lost_messages_lose_no_slot(fleet: FakeFleet, copies: int) -> None:
    """Guards against slots that leak or are freed twice on a lossy link.

    Messages with grants and settlements are lost or delivered twice.
    """

    async def scenario() -> None:
        engine = fleet.add_server('s1', slots=4)
        fleet.links.loss = 0.2
        fleet.links.copies = copies
        await start(fleet, 4)
        for router in fleet.routers.values():
            fleet.flood(router, 'small')
        await asyncio.sleep(30)
        assert engine.peak == 4
        await fleet.stop_callers(*fleet.tasks)
        fleet.links.loss = 0
        await asyncio.sleep(15)
        assert fake_faults.open_grants(fleet) == 0
        await fleet.stop()

    simulate(scenario())


def test_data_centre_out_gets_no_requests(fleet: FakeFleet) -> None:
    """Guards against new requests in a data centre taken out of service."""

    async def scenario() -> None:
        out = fleet.add_server('s1', ENSCHEDE)
        kept = fleet.add_server('s2', HENGELO)
        await start(fleet, 4)
        for router in fleet.routers.values():
            fleet.flood(router, 'small')
        await asyncio.sleep(2)
        fleet.configuration.set_data_centre_state(
            ENSCHEDE,
            DataCentreState.OUT,
        )
        await asyncio.sleep(0.11)
        out.peak = 0
        kept.served = 0
        await asyncio.sleep(3)
        assert out.peak == 0
        assert kept.served >= 0.95 * 4 * 3_000 / 100
        fleet.configuration.set_data_centre_state(
            ENSCHEDE,
            DataCentreState.IN_SERVICE,
        )
        await asyncio.sleep(1)
        assert out.peak == 4
        await fleet.stop()

    simulate(scenario())


def test_both_sides_of_a_partition_keep_serving(fleet: FakeFleet) -> None:
    """Guards against idle slots in a data centre that is cut off."""

    async def scenario() -> None:
        enschede_engine = fleet.add_server('s1', ENSCHEDE)
        hengelo_engine = fleet.add_server('s2', HENGELO)
        for name in ('e0', 'e1', 'e2'):
            await fleet.add_router(name, ENSCHEDE)
        for name in ('h0', 'h1', 'h2'):
            await fleet.add_router(name, HENGELO)
        for router in fleet.routers.values():
            fleet.flood(router, 'small')
        await asyncio.sleep(2)
        fake_faults.partition_data_centres(fleet)
        await asyncio.sleep(6)
        # At the partition the owners free the slots of the other side's
        # routers, whose requests still run, so that the check starts later.
        enschede_engine.served = 0
        enschede_engine.peak = 0
        hengelo_engine.served = 0
        hengelo_engine.peak = 0
        await asyncio.sleep(3)
        fake_faults.heal(fleet)
        assert (
            min(enschede_engine.served, hengelo_engine.served) >= 0.8 * 4 * 30
        )
        await asyncio.sleep(5)
        assert max(enschede_engine.peak, hengelo_engine.peak) == 4
        await fleet.stop()

    simulate(scenario())


def test_router_declared_dead_gets_grants_again(fleet: FakeFleet) -> None:
    """Guards against slots lost in grants that a router drops as outdated.

    The owner starts a new stream with a router that it presumed dead. The
    message numbers of that stream must not be lower than those that the
    router has seen before.
    """

    async def scenario() -> None:
        engine = fleet.add_server('s1', slots=4)
        await start(fleet, 3)
        owner = fake_faults.owner(fleet)
        paused_vm = next(name for name in fleet.routers if name != owner)
        fleet.flood(fleet.routers[paused_vm], 'small')
        await asyncio.sleep(5)
        await fleet.stop_callers(paused_vm)
        fake_faults.pause(fleet, paused_vm)
        paused_member = fleet.members.pop(fleet.routers[paused_vm].peers.vm)
        fleet.routers[owner].membership.set_members(fleet.members)
        await asyncio.sleep(4)
        fake_faults.resume(fleet, paused_vm)
        fleet.members[paused_member.vm] = paused_member
        fleet.announce_members()
        fleet.flood(fleet.routers[paused_vm], 'small')
        await asyncio.sleep(0.5)
        engine.served = 0
        await asyncio.sleep(3)
        assert engine.served >= 0.9 * 4 * 3_000 / 100
        await fleet.stop()

    simulate(scenario())


def test_unjoined_router_does_not_own_pools(fleet: FakeFleet) -> None:
    """Guards against a starting router that acts as the owner of all pools.

    Before it has joined it knows no other router.
    """

    async def scenario() -> None:
        engine = fleet.add_server('s1', slots=4)
        await start(fleet, 3)
        fleet.flood(fleet.routers[VmId('r0')], 'small', lambda: 3000)
        await asyncio.sleep(1)
        joining = await fleet.add_router('r9', seeds=('127.0.0.1:1',))
        fleet.flood(joining, 'large', lambda: 3000)
        await asyncio.sleep(0.3)
        fleet.announce_members()
        await asyncio.sleep(5)
        assert engine.peak == 4
        await fleet.stop()

    simulate(scenario())


@pytest.mark.parametrize('ramp', [True, False])
def test_cold_server_is_ramped_over_the_fleet(ramp: bool) -> None:
    """Guards against routers that each ramp up a cold server on their own.

    With the ramp off, the same run exceeds the capacity of the cold server.
    """
    fleet = FakeFleet(admission=AdmissionSettings(ramp=ramp))
    over: list[int] = []

    async def scenario() -> None:
        engine = fleet.add_server('s1', slots=16, cold_slots=2)
        await start(fleet, 4)
        for router in fleet.routers.values():
            fleet.flood(router, 'small')
        for _ in range(300):
            # The limit doubles after as many responses: 2, then 4, then 8.
            rounds = (engine.served + 2).bit_length() - 1
            over.append(engine.in_flight - 2**rounds)
            await asyncio.sleep(0.01)
        assert engine.peak == 16
        await fleet.stop()

    simulate(scenario())
    assert (max(over) <= 0) == ramp


def test_grant_is_settled_once(fleet: FakeFleet) -> None:
    """Guards against a repeated settlement that frees another grant's slot."""

    async def scenario() -> None:
        fleet.add_server('s1', slots=2)
        router = await fleet.add_router('r0')
        acquired = await router.admission.acquire(fleet.ticket('small'))
        await router.admission.acquire(fleet.ticket('small'))
        settlement = Settlement(grant=acquired.ok, outcome=Outcome.UNUSED)
        router.admission.settle(settlement)
        router.admission.settle(settlement)
        await asyncio.sleep(1)
        assert fake_faults.open_grants(fleet) == 1
        now = asyncio.get_running_loop().time()
        pool = router.admission.status(now).pools[0]
        assert pool.servers[0].in_flight == 1
        await fleet.stop()

    simulate(scenario())


def test_owner_exceeds_a_seen_fencing_number(fleet: FakeFleet) -> None:
    """Guards against an owner whose grants the servers refuse forever.

    Servers refuse an epoch below the highest one that they have seen.
    """

    async def scenario() -> None:
        engine = fleet.add_server('s1')
        await start(fleet, 3)
        router = fleet.routers[VmId('r0')]
        router.admission.observe_epoch(engine.server.server, 70)
        assert await fleet.serve(router, 'small', 10)
        acquired = await router.admission.acquire(fleet.ticket('small'))
        assert acquired.ok.epoch > 70
        await fleet.stop()

    simulate(scenario())
