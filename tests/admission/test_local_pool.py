"""Admission on one router, without I/O."""

from dataclasses import replace

import pytest

from pollenloom.admission.local_backlog import WaitingTicket
from pollenloom.admission.local_pool import LEAD_COST, LocalPool
from pollenloom.admission.selection_context import SelectionContext
from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import (
    AccountId,
    DataCentreId,
    RequestId,
    RouteId,
    ServerId,
    ServiceId,
    VersionId,
    VmId,
)
from pollenloom.core.states import Resource
from pollenloom.routing.cold_server_turn import ColdServerTurn
from pollenloom.routing.send_window import FIRST_WINDOW
from pollenloom.routing.server_directory import KnownServer
from pollenloom.routing.server_entry import ServerEntry
from pollenloom.routing.service_load import ServiceLoad

NOW = 100.0
SERVICE = ServiceId('answers')


def make_server(name: str, cold_until: float = 0) -> KnownServer:
    """Return a registered server."""
    entry = ServerEntry(
        server=ServerId(name),
        service=SERVICE,
        address='10.0.0.1:80',
        data_centre=DataCentreId('enschede'),
        version=VersionId('v1'),
        slots=100,
        is_leaving=False,
        cold_seconds=0,
        started_at=0,
    )
    return KnownServer(entry, 1, 0, cold_until)


def make_ticket(
    account: str,
    prompt: int = 1000,
    shared: int = 0,
    session: int = 0,
) -> Ticket:
    """Return a request for a model server."""
    return Ticket(
        request_id=RequestId('a1'),
        account=AccountId(account),
        service=SERVICE,
        route=RouteId('r'),
        resource=Resource.MODEL,
        cost_hint=prompt,
        deadline=NOW + 10,
        prefix_hashes=(session,) if shared else (),
        objective=0.8,
        prompt_tokens=prompt,
        shared_tokens=shared,
    )


def context(
    elsewhere: ServiceLoad | None = None,
    turn: ColdServerTurn | None = None,
    now: float = NOW,
) -> SelectionContext:
    """Return what holds while a server is chosen."""
    return SelectionContext(now, turn, elsewhere or ServiceLoad())


def send_all(
    pool: LocalPool,
    servers: list[KnownServer],
    given: SelectionContext,
) -> list[tuple[str, str]]:
    """Send what may be sent; return accounts and servers in order."""
    return [
        (waiting.ticket.account, placement.known.entry.server)
        for waiting, placement in pool.send(servers, given)
    ]


@pytest.fixture
def pool() -> LocalPool:
    """An empty pool."""
    return LocalPool()


def test_accounts_take_turns(pool: LocalPool) -> None:
    """Guards against an account that floods the router."""
    for _ in range(20):
        pool.put(WaitingTicket(make_ticket('flood', 10_000), NOW))
    pool.put(WaitingTicket(make_ticket('small', 10_000), NOW))
    pool.put(WaitingTicket(make_ticket('small', 10_000), NOW))
    accounts = [
        account
        for account, _ in send_all(pool, [make_server('i-1')], context())
    ]
    assert accounts.count('small') >= accounts.count('flood') - 1


def test_account_that_got_more_waits_for_others_elsewhere(
    pool: LocalPool,
) -> None:
    """Guards against shares that depend on the router.

    Found on scale-1 of carromwerk: FAIR broke, since quiet routers sent while
    an account waited at a busy one.
    """
    pool.backlog.usage.charge(AccountId('ahead'), 3 * LEAD_COST, NOW)
    pool.put(WaitingTicket(make_ticket('ahead'), NOW))
    waits = context(ServiceLoad(waiting={VmId('b'): 0}))
    assert not send_all(pool, [make_server('i-1')], waits)
    assert send_all(pool, [make_server('i-1')], context())


def test_queue_of_other_routers_keeps_requests_back(pool: LocalPool) -> None:
    """Guards against routers that fill one server together."""
    pool.put(WaitingTicket(make_ticket('shop'), NOW))
    full = context(ServiceLoad({ServerId('i-1'): 2 * FIRST_WINDOW}))
    assert not send_all(pool, [make_server('i-1')], full)


def test_running_requests_of_other_routers_fill_slots(
    pool: LocalPool,
) -> None:
    """Guards against requests that queue at an engine of few slots.

    Found on the grown sites, whose engines run 12 requests at once for 71
    routers.
    """
    pool.put(WaitingTicket(make_ticket('shop'), NOW))
    full = ServiceLoad(running={ServerId('i-1'): 100})
    servers = [make_server('i-1')]
    assert not send_all(pool, servers, context(full))
    assert send_all(pool, servers, context())


def test_session_stays_with_its_servers(pool: LocalPool) -> None:
    """Guards against shared parts that every server reads again."""
    servers = [make_server(f'i-{number}') for number in range(6)]
    used = set()
    for number in range(12):
        ticket = make_ticket('shop', 6000, 5000, session=77)
        pool.put(WaitingTicket(ticket, NOW + number))
        given = context(now=NOW + number)
        for _, server in send_all(pool, servers, given):
            used.add(server)
            load = pool.servers.load(ServerId(server), given.now)
            load.window.released(10_000)
    assert len(used) == 1


def test_cold_servers_get_the_router_s_part(pool: LocalPool) -> None:
    """Guards against a cold server that all routers fill."""
    server = make_server('i-1', cold_until=NOW + 3)
    sent = 0
    for step in range(100):
        pool.put(WaitingTicket(make_ticket('shop', 1), NOW))
        turn = ColdServerTurn(step // 50, is_open=step % 50 < 20)
        given = context(turn=turn, now=NOW + step / 100)
        sent += len(send_all(pool, [server], given))
    assert sent == 2


def test_hopeless_request_is_told_at_once(pool: LocalPool) -> None:
    """Guards against requests that wait although they would be late."""
    servers = [make_server('i-1')]
    for _ in range(40):
        pool.put(WaitingTicket(make_ticket('shop', 20_000), NOW))
    send_all(pool, servers, context())
    late = make_ticket('shop')
    prompt = make_ticket('other', 100)
    assert pool.expected_wait(late, NOW) > pool.longest_wait(late)
    assert pool.expected_wait(prompt, NOW) < pool.longest_wait(prompt)


def test_failing_servers_are_left_out_but_not_all(pool: LocalPool) -> None:
    """Guards against leaving out all servers of a service at once."""
    servers = [make_server(f'i-{number}') for number in range(4)]
    for known in servers:
        health = pool.servers.load(known.entry.server, NOW).health
        for _ in range(8):
            health.answered(NOW, is_good=False)
    pool.put(WaitingTicket(make_ticket('shop'), NOW))
    assert send_all(pool, servers, context())


def test_request_that_sound_servers_failed_goes_to_another(
    pool: LocalPool,
) -> None:
    """Guards against giving up while a server is left to try."""
    servers = [make_server('i-1'), make_server('i-2')]
    health = pool.servers.load(ServerId('i-2'), NOW).health
    for _ in range(8):
        health.answered(NOW, is_good=False)
    ticket = replace(
        make_ticket('shop'),
        excluded=frozenset((ServerId('i-1'),)),
    )
    pool.put(WaitingTicket(ticket, NOW))
    assert send_all(pool, servers, context()) == [('shop', 'i-2')]


def test_last_resort_of_one_request_is_not_used_by_others(
    pool: LocalPool,
) -> None:
    """Guards against requests that follow a retry to a failing server."""
    servers = [make_server('i-1'), make_server('i-2')]
    health = pool.servers.load(ServerId('i-2'), NOW).health
    for _ in range(8):
        health.answered(NOW, is_good=False)
    pool.servers.load(ServerId('i-1'), NOW).window.sent(2 * FIRST_WINDOW)
    again = replace(
        make_ticket('again'),
        excluded=frozenset((ServerId('i-1'),)),
    )
    pool.put(WaitingTicket(again, NOW))
    pool.put(WaitingTicket(make_ticket('other'), NOW))
    assert send_all(pool, servers, context()) == [('again', 'i-2')]


def test_servers_that_are_gone_are_forgotten(pool: LocalPool) -> None:
    """Guards against memory that grows with each restart of a server."""
    pool.put(WaitingTicket(make_ticket('shop'), NOW))
    send_all(pool, [make_server('i-1')], context())
    pool.servers.load(ServerId('i-2'), NOW)
    pool.servers.retain(())
    assert list(pool.servers.loads) == [ServerId('i-1')]
