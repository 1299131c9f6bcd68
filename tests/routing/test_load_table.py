"""Tests of the load that other routers report."""

from pollenloom.core.ids import AccountId, DataCentreId, ServerId, VmId
from pollenloom.routing.load_table import (
    MAX_REPORT_AGE_SECONDS,
    MAX_SUM_AGE_SECONDS,
    LoadTable,
)
from pollenloom.routing.router_load_report import RouterLoadReport
from pollenloom.routing.service_load import ServiceLoad
from tests.routing.conftest import SERVICE

LOCAL = VmId('own')
SERVER = ServerId('i-1')
SHOP = AccountId('shop')
LOCAL_DATA_CENTRE = DataCentreId('here')
REMOTE_DATA_CENTRE = DataCentreId('there')


def report(
    received_at: float,
    unread: float,
    refused: float = 0,
    number: int = 1,
) -> RouterLoadReport:
    """Return a report of one server and one account."""
    load = ServiceLoad(
        unread={SERVER: unread},
        running={SERVER: 3},
        usage={SHOP: 7},
        refused={SHOP: refused} if refused else {},
    )
    return RouterLoadReport(number, received_at, {SERVICE: load})


def remote_load(table: LoadTable, routers: int, now: float) -> ServiceLoad:
    """Return the load of other routers; no sum contains local reports."""
    return table.remote_load(SERVICE, routers, now, {})


def test_loads_are_added_up() -> None:
    """Guards against a server that seems idle while other routers use it."""
    table = LoadTable(LOCAL)
    table.receive_report(VmId('a'), report(10, 100, 5))
    table.receive_report(VmId('b'), report(10, 50))
    load = remote_load(table, 3, 10)
    assert load.unread == {SERVER: 150}
    assert load.running == {SERVER: 6}
    assert load.usage == {SHOP: 14}
    assert load.refused == {SHOP: 5}


def test_load_is_scaled_up_for_routers_without_reports() -> None:
    """Guards against a load that is underestimated in a large fleet."""
    table = LoadTable(LOCAL)
    table.receive_report(VmId('a'), report(10, 100))
    assert remote_load(table, 5, 10).unread == {SERVER: 400}


def test_report_of_an_unresponsive_router_expires() -> None:
    """Guards against a frozen router whose last report delays others."""
    table = LoadTable(LOCAL)
    table.receive_report(VmId('a'), report(10, 100, 5))
    load = remote_load(table, 2, 10 + 2 * MAX_REPORT_AGE_SECONDS)
    assert load == ServiceLoad()


def test_fleet_sum_excludes_the_local_load() -> None:
    """Guards against a router that waits for requests that it sent itself."""
    remote_collector = LoadTable(VmId('collector-there'))
    remote_collector.receive_report(VmId('c'), report(10, 30, 9))
    local_collector = LoadTable(VmId('collector-here'))
    local_report = report(10, 100, 1, number=4)
    local_collector.receive_report(LOCAL, local_report)
    local_collector.receive_report(VmId('b'), report(10, 50, 5))
    remote_sum = remote_collector.local_sum(10)
    local_collector.receive_data_centre_sum(
        REMOTE_DATA_CENTRE, VmId('collector-there'), remote_sum, 10
    )
    total = local_collector.fleet_sum(local_collector.local_sum(10))
    assert total.routers == 3
    table = LoadTable(LOCAL)
    table.receive_fleet_sum(VmId('collector-here'), total, 10.1)
    load = table.remote_load(SERVICE, 3, 10.2, {4: local_report})
    assert load.unread == {SERVER: 80}
    assert load.running == {SERVER: 6}
    assert load.usage == {SHOP: 14}
    assert load.refused == {SHOP: 14}


def test_data_centre_with_two_collectors_counts_once() -> None:
    """Guards against adding the sums of two collectors of a data centre."""
    table = LoadTable(LOCAL)
    remote_collector = LoadTable(VmId('c1'))
    remote_collector.receive_report(VmId('c'), report(10, 30))
    for collector in ('c1', 'c2'):
        table.receive_data_centre_sum(
            REMOTE_DATA_CENTRE,
            VmId(collector),
            remote_collector.local_sum(10),
            10,
        )
    assert table.fleet_sum(table.local_sum(10)).routers == 1


def test_old_sum_is_used_until_another_collector_takes_over() -> None:
    """Guards against servers that seem idle when a collector fails."""
    collector = LoadTable(VmId('a'))
    collector.receive_report(VmId('b'), report(10, 50))
    total = collector.fleet_sum(collector.local_sum(10))
    table = LoadTable(LOCAL)
    table.receive_fleet_sum(VmId('a'), total, 10)
    assert remote_load(table, 2, 11).unread == {SERVER: 50}
    assert remote_load(table, 2, 10 + 2 * MAX_SUM_AGE_SECONDS) == ServiceLoad()
