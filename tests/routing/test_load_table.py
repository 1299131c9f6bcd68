"""Loads that other routers tell."""

from pollenloom.core.ids import AccountId, ServerId, VmId
from pollenloom.routing.load_table import (
    REPORT_SECONDS,
    LoadReport,
    LoadTable,
    ServiceLoad,
)
from tests.routing.conftest import SERVICE

SERVER = ServerId('i-1')
SHOP = AccountId('shop')


def report(heard_at: float, unread: float, least: float | None) -> LoadReport:
    """Return a report of one server and one account."""
    load = ServiceLoad({SERVER: unread}, {SHOP: 7}, least)
    return LoadReport(heard_at, {SERVICE: load})


def test_loads_are_added_up() -> None:
    """Guards against a server that looks empty because others fill it."""
    table = LoadTable()
    table.hear(VmId('a'), report(10, 100, 5))
    table.hear(VmId('b'), report(10, 50, None))
    load = table.elsewhere(SERVICE, 3, 10)
    assert load.unread == {SERVER: 150}
    assert load.usage == {SHOP: 14}
    assert load.least_waiting == 5


def test_routers_that_are_not_heard_count_in_proportion() -> None:
    """Guards against a load that seems small in a large fleet."""
    table = LoadTable()
    table.hear(VmId('a'), report(10, 100, None))
    assert table.elsewhere(SERVICE, 5, 10).unread == {SERVER: 400}


def test_silent_router_is_forgotten() -> None:
    """Guards against a frozen router whose last report holds others up."""
    table = LoadTable()
    table.hear(VmId('a'), report(10, 100, 5))
    load = table.elsewhere(SERVICE, 2, 10 + 2 * REPORT_SECONDS)
    assert load == ServiceLoad()
