"""Requests that are refused for the shares of accounts while servers idle."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace

import pytest

from pollenloom.admission.grant import Grant
from pollenloom.admission.local_admission import LocalAdmission
from pollenloom.admission.settlement import Settlement
from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import AccountId, ServiceId
from pollenloom.core.states import Outcome
from pollenloom.routing.service_load import ServiceLoad
from tests.admission.local_fleet import SERVICE, LocalFleet, RequestShape
from tests.admission.simulated_loop import simulate

TAG = RequestShape('tag', 2_400, 570, 22, 0.3, 2.5, 50)
ENGINES = 24
SLOTS = 8
# About a third of what the engines can serve.
REQUESTS_PER_SECOND = 200
# The decayed cost of such a request, once refused, is known for some seconds.
ONE_REFUSAL = 2_444.0
OUTAGE = range(3, 7)
# Seconds after the outage in which requests that came in before it ended may
# still be refused.
SETTLE_SECONDS = 2


def spawn_callers(fleet: LocalFleet) -> None:
    """Let three accounts ask at all routers."""
    routers = range(len(fleet.admissions))
    for account in ('bakery', 'library', 'shop'):
        fleet.spawn(fleet.ask(account, TAG, REQUESTS_PER_SECOND / 3, routers))


def refuse_one(fleet: LocalFleet) -> None:
    """Let each router refuse one request, as if for lack of capacity."""
    for admission in fleet.admissions:
        admission.pool(SERVICE).backlog.refused.charge(
            AccountId('shop'), ONE_REFUSAL, admission.kernel.clock.monotonic()
        )


def refusals(fleet: LocalFleet, seconds: range) -> int:
    """Return how many requests were refused."""
    return sum(
        counts.refused[second]
        for counts in fleet.seconds.values()
        for second in seconds
    )


async def run_outage(routers: int, kept: int) -> LocalFleet:
    """Run a fleet from which most engines are gone for a while."""
    fleet = LocalFleet(routers, ENGINES, SLOTS, seed=3)
    await fleet.start()
    spawn_callers(fleet)
    await asyncio.sleep(OUTAGE.start)
    servers = fleet.catalogue.directory.servers
    removed = {server: servers[server] for server in tuple(servers)[kept:]}
    for server in removed:
        servers.pop(server)
    await asyncio.sleep(len(OUTAGE))
    servers.update(removed)
    await asyncio.sleep(2 * SETTLE_SECONDS)
    await fleet.stop()
    return fleet


@pytest.mark.parametrize('routers', [1, 3, 7])
@pytest.mark.parametrize('kept', [0, 1])
def test_servers_are_used_as_soon_as_they_come_back(
    routers: int, kept: int
) -> None:
    """Guards against a capacity that is taken from what began in an outage.

    Routers took on only a little more than what had begun lately, and refused
    most requests for several seconds while nearly all servers were idle.
    """
    fleet = simulate(run_outage(routers, kept))
    settled = OUTAGE.stop + SETTLE_SECONDS
    assert not refusals(fleet, range(settled, settled + SETTLE_SECONDS))


def without_begun(
    local_loads: Callable[[], Mapping[ServiceId, ServiceLoad]],
) -> Callable[[], dict[ServiceId, ServiceLoad]]:
    """Return loads as a router without reports of what began sends them."""
    return lambda: {
        service: replace(load, begun={})
        for service, load in local_loads().items()
    }


async def run_mixed_versions(routers: int, old: int) -> LocalFleet:
    """Run a fleet in which some routers do not report what began."""
    fleet = LocalFleet(routers, ENGINES, SLOTS)
    await fleet.start()
    for exchange in fleet.exchanges[:old]:
        exchange.local_loads = without_begun(exchange.local_loads)
    spawn_callers(fleet)
    await asyncio.sleep(SETTLE_SECONDS)
    refuse_one(fleet)
    await asyncio.sleep(2 * SETTLE_SECONDS)
    await fleet.stop()
    return fleet


@pytest.mark.parametrize('old', [4, 6, 7])
def test_routers_that_do_not_report_what_began_cause_no_refusals(
    old: int,
) -> None:
    """Guards against a capacity that is too small during an upgrade.

    The cost of the requests of older routers was known, what they began was
    not; an old collector leaves it out of all sums.
    """
    fleet = simulate(run_mixed_versions(routers=7, old=old))
    assert not refusals(fleet, range(3 * SETTLE_SECONDS))


class ImpatientFleet(LocalFleet):
    """Fleet whose callers often leave before the first byte."""

    async def run(
        self,
        admission: LocalAdmission,
        grant: Grant,
        ticket: Ticket,
        shape: RequestShape,
    ) -> None:
        """Run a request, or cancel it before it begins."""
        if self.random.random() < 1 / 2:
            await super().run(admission, grant, ticket, shape)
            return
        await asyncio.sleep(0.1)
        admission.settle(Settlement(grant=grant, outcome=Outcome.CANCELLED))


async def run_impatient() -> LocalFleet:
    """Run a fleet in which one request was refused."""
    fleet = ImpatientFleet(3, ENGINES, SLOTS)
    await fleet.start()
    spawn_callers(fleet)
    await asyncio.sleep(SETTLE_SECONDS)
    refuse_one(fleet)
    await asyncio.sleep(2 * SETTLE_SECONDS)
    await fleet.stop()
    return fleet


def test_callers_that_leave_cause_no_refusals() -> None:
    """Guards against a capacity that shrinks with each request that leaves.

    If half of the requests that are sent never begin, less was taken on each
    time, until most requests were refused by a fleet with idle servers.
    """
    fleet = simulate(run_impatient())
    assert not refusals(fleet, range(3 * SETTLE_SECONDS))
