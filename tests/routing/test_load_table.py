"""Loads that other routers tell."""

from pollenloom.core.ids import AccountId, DataCentreId, ServerId, VmId
from pollenloom.routing.load_table import (
    REPORT_SECONDS,
    SUM_SECONDS,
    LoadTable,
)
from pollenloom.routing.router_load_report import RouterLoadReport
from pollenloom.routing.service_load import ServiceLoad
from tests.routing.conftest import SERVICE

OWN = VmId('own')
SERVER = ServerId('i-1')
SHOP = AccountId('shop')
HERE = DataCentreId('here')
THERE = DataCentreId('there')


def report(
    received_at: float,
    unread: float,
    least: float | None = None,
    router: str = 'a',
    number: int = 1,
) -> RouterLoadReport:
    """Return a report of one server and one account."""
    waiting = {} if least is None else {VmId(router): least}
    load = ServiceLoad(
        unread={SERVER: unread},
        running={SERVER: 3},
        usage={SHOP: 7},
        waiting=waiting,
    )
    return RouterLoadReport(number, received_at, {SERVICE: load})


def elsewhere(table: LoadTable, routers: int, now: float) -> ServiceLoad:
    """Return what others have, for a router whose reports are not summed."""
    return table.elsewhere(SERVICE, routers, now, {})


def test_loads_are_added_up() -> None:
    """Guards against a server that looks empty because others fill it."""
    table = LoadTable(OWN)
    table.receive(VmId('a'), report(10, 100, 5))
    table.receive(VmId('b'), report(10, 50))
    load = elsewhere(table, 3, 10)
    assert load.unread == {SERVER: 150}
    assert load.running == {SERVER: 6}
    assert load.usage == {SHOP: 14}
    assert load.least_waiting == 5


def test_routers_that_are_not_heard_count_in_proportion() -> None:
    """Guards against a load that seems small in a large fleet."""
    table = LoadTable(OWN)
    table.receive(VmId('a'), report(10, 100))
    assert elsewhere(table, 5, 10).unread == {SERVER: 400}


def test_silent_router_is_forgotten() -> None:
    """Guards against a frozen router whose last report holds others up."""
    table = LoadTable(OWN)
    table.receive(VmId('a'), report(10, 100, 5))
    load = elsewhere(table, 2, 10 + 2 * REPORT_SECONDS)
    assert load == ServiceLoad()


def test_sum_over_data_centres_leaves_the_own_part_out() -> None:
    """Guards against a router that waits for what it has sent itself."""
    there = LoadTable(VmId('collector-there'))
    there.receive(VmId('c'), report(10, 30, 9, router='c'))
    here = LoadTable(VmId('collector-here'))
    own = report(10, 100, 1, router=OWN, number=4)
    here.receive(OWN, own)
    here.receive(VmId('b'), report(10, 50, 5, router='b'))
    part = there.local_part(10)
    here.receive_part(THERE, VmId('collector-there'), part, 10)
    total = here.fleet_sum(here.local_part(10))
    assert total.routers == 3
    table = LoadTable(OWN)
    table.receive_sum(VmId('collector-here'), total, 10.1)
    load = table.elsewhere(SERVICE, 3, 10.2, {4: own})
    assert load.unread == {SERVER: 80}
    assert load.running == {SERVER: 6}
    assert load.usage == {SHOP: 14}
    assert load.least_waiting == 5


def test_part_of_a_data_centre_counts_once() -> None:
    """Guards against two collectors whose parts are both added."""
    table = LoadTable(OWN)
    there = LoadTable(VmId('c1'))
    there.receive(VmId('c'), report(10, 30))
    for collector in ('c1', 'c2'):
        table.receive_part(THERE, VmId(collector), there.local_part(10), 10)
    assert table.fleet_sum(table.local_part(10)).routers == 1


def test_old_sum_is_used_until_another_collector_takes_over() -> None:
    """Guards against servers that look empty when a collector is lost."""
    collector = LoadTable(VmId('a'))
    collector.receive(VmId('b'), report(10, 50))
    total = collector.fleet_sum(collector.local_part(10))
    table = LoadTable(OWN)
    table.receive_sum(VmId('a'), total, 10)
    assert elsewhere(table, 2, 11).unread == {SERVER: 50}
    assert elsewhere(table, 2, 10 + 2 * SUM_SECONDS) == ServiceLoad()
