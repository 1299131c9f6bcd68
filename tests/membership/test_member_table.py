"""Decisions on the states of routers, and detection of failed ones."""

from collections.abc import Iterable

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import MemberState
from pollenloom.membership.heartbeat_monitor import (
    MAX_HEARTBEAT_TIMEOUT_SECONDS,
    HeartbeatMonitor,
)
from pollenloom.membership.member import Member
from pollenloom.membership.member_table import (
    DEAD_RETENTION_SECONDS,
    HEARTBEAT_TIMEOUT_SECONDS,
    REMOTE_SUSPICION_TIMEOUT_SECONDS,
    SUSPICION_TIMEOUT_SECONDS,
    MemberTable,
)
from pollenloom.membership.refusal_evaluator import (
    MAX_PAUSE_SECONDS,
    RefusalEvaluator,
)

LOCAL_VM = VmId('vm-own')
OTHER_VM = VmId('vm-1')


def entry(
    vm: str = OTHER_VM,
    incarnation: int = 1,
    state: MemberState = MemberState.ALIVE,
    address: str = '127.0.0.1:1',
) -> Member:
    """Return an entry for a router."""
    return Member(
        vm=VmId(vm),
        data_centre=DataCentreId('enschede'),
        peer_address=address,
        operator_address='',
        incarnation=incarnation,
        state=state,
    )


ENTRIES = st.lists(
    st.builds(
        entry,
        st.sampled_from(['vm-1', 'vm-2', 'vm-3']),
        st.integers(0, 3),
        st.sampled_from(MemberState),
        st.sampled_from(['127.0.0.1:1', '127.0.0.1:2']),
    ),
    max_size=12,
)


def merged(*batches: Iterable[Member]) -> MemberTable:
    """Return a table that merged the entries in this order."""
    table = MemberTable(entry(LOCAL_VM))
    for batch in batches:
        for member in batch:
            table.merge(member, now=0)
    return table


@given(first=ENTRIES, second=ENTRIES, third=ENTRIES)
def test_merge_is_commutative_associative_and_idempotent(
    first: list[Member],
    second: list[Member],
    third: list[Member],
) -> None:
    """Guards against tables that depend on the order of gossip messages.

    Merging must be commutative, associative and idempotent.
    """
    together = merged(first, second, third)
    grouped = merged(first, merged(second, third).entries.values())
    assert together.entries == merged(third, second, first).entries
    assert together.entries == grouped.entries
    assert together.entries == merged(first, second, third, second).entries
    assert together.digest == grouped.digest


@given(entries=ENTRIES, waits=st.lists(st.floats(0, 2000), max_size=12))
def test_incarnations_never_decrease(
    entries: list[Member],
    waits: list[float],
) -> None:
    """Guards against old gossip that readmits a dead or removed router."""
    table = merged()
    highest: dict[VmId, int] = {}
    now: float = 0
    for member, wait in zip(entries, waits, strict=False):
        now += wait
        table.merge(member, now)
        table.suspect(member.vm, now, SUSPICION_TIMEOUT_SECONDS)
        table.advance(now)
        for vm, known in table.entries.items():
            assert known.incarnation >= highest.get(vm, 0)
            highest[vm] = known.incarnation


@given(entries=st.lists(st.builds(entry, st.just(LOCAL_VM), st.integers(0, 3))))
def test_local_member_is_never_replaced_by_other_routers(
    entries: list[Member],
) -> None:
    """Guards against a router that accepts a report of its own death.

    It must refute with a higher incarnation.
    """
    reported = [
        msgspec.structs.replace(member, state=MemberState.DEAD)
        for member in entries
    ]
    table = merged(reported)
    assert table.local_member.state is MemberState.ALIVE
    assert all(
        table.local_member.incarnation > member.incarnation
        for member in reported
    )


def test_suspect_is_declared_dead_unless_it_refutes() -> None:
    """Guards against losing a live router and against keeping a dead one."""
    table = merged([entry()])
    assert table.suspect(OTHER_VM, 0, SUSPICION_TIMEOUT_SECONDS)
    table.advance(SUSPICION_TIMEOUT_SECONDS - 0.1)
    assert table.entries[OTHER_VM].state is MemberState.SUSPECT
    table.merge(entry(incarnation=2), now=1)
    assert table.entries[OTHER_VM].state is MemberState.ALIVE
    table.suspect(OTHER_VM, 2, SUSPICION_TIMEOUT_SECONDS)
    table.advance(2 + SUSPICION_TIMEOUT_SECONDS)
    assert table.entries[OTHER_VM].state is MemberState.DEAD
    assert not table.merge(entry(incarnation=2), now=5)


def test_reported_suspicion_has_a_longer_timeout() -> None:
    """Guards against early decisions by routers without a link to a suspect."""
    table = merged([entry(state=MemberState.SUSPECT)])
    table.advance(REMOTE_SUSPICION_TIMEOUT_SECONDS - 0.1)
    assert table.entries[OTHER_VM].state is MemberState.SUSPECT
    table.advance(REMOTE_SUSPICION_TIMEOUT_SECONDS)
    assert table.entries[OTHER_VM].state is MemberState.DEAD


def test_slow_member_with_heartbeats_is_not_declared_dead() -> None:
    """Guards against declaring a router dead whose heartbeats arrive late."""
    table = merged([entry()])
    now: float = 0
    for _ in range(10):
        table.suspect(OTHER_VM, now, SUSPICION_TIMEOUT_SECONDS)
        table.record_heartbeat(OTHER_VM, now + 1)
        now += HEARTBEAT_TIMEOUT_SECONDS + SUSPICION_TIMEOUT_SECONDS - 0.5
        table.advance(now)
        assert table.entries[OTHER_VM].state is MemberState.SUSPECT


def test_incarnation_of_a_removed_member_is_kept() -> None:
    """Guards against old gossip that readmits a router after its removal."""
    table = merged([entry(state=MemberState.DEAD)])
    table.advance(DEAD_RETENTION_SECONDS)
    assert OTHER_VM not in table.entries
    assert not table.merge(entry(), now=DEAD_RETENTION_SECONDS)
    assert table.merge(entry(incarnation=2), now=DEAD_RETENTION_SECONDS)


def test_leaving_member_stays_leaving_until_dead() -> None:
    """Guards against new work for a leaving router that stops responding."""
    table = merged([entry(state=MemberState.LEAVING)])
    assert not table.suspect(OTHER_VM, 0, SUSPICION_TIMEOUT_SECONDS)
    assert table.entries[OTHER_VM].state is MemberState.LEAVING
    table.advance(SUSPICION_TIMEOUT_SECONDS)
    assert table.entries[OTHER_VM].state is MemberState.DEAD


def test_timeout_doubles_after_each_refutation() -> None:
    """Guards against endless suspicions because of one cut network path.

    The neighbour refutes each suspicion, but its heartbeats do not arrive.
    """
    monitor = HeartbeatMonitor()
    monitor.watch([OTHER_VM], 0)
    now: float = 0
    waits: list[float] = []
    for _ in range(6):
        waits.append(monitor.next_deadline() - now)
        now = monitor.next_deadline()
        assert monitor.take_expired(now) == (OTHER_VM,)
        assert not monitor.take_expired(now)
        monitor.record_refutation(OTHER_VM, now)
    assert waits == [1.5, 3, 6, 12, 24, MAX_HEARTBEAT_TIMEOUT_SECONDS]
    monitor.record_heartbeat(OTHER_VM, now)
    assert monitor.next_deadline() == now + HEARTBEAT_TIMEOUT_SECONDS


def test_refusals_are_ignored_longer_after_each_refutation() -> None:
    """Guards against endless suspicions because a path refuses connections."""
    evaluator = RefusalEvaluator()
    now: float = 0
    for pause in (1.5, 3, 6, 12, 24, MAX_PAUSE_SECONDS):
        assert evaluator.record_refusal(OTHER_VM, now)
        evaluator.record_refutation(OTHER_VM, now)
        assert not evaluator.record_refusal(OTHER_VM, now + pause - 0.1)
        now += pause
    evaluator.record_refutation(OTHER_VM, now)
    assert evaluator.record_refusal(OTHER_VM, now)
    evaluator.record_refutation(OTHER_VM, now)
    evaluator.reset(OTHER_VM)
    assert evaluator.record_refusal(OTHER_VM, now)


def test_pause_of_this_router_causes_no_suspicions() -> None:
    """Guards against a router that suspects all others after a freeze.

    It received no heartbeats only because its own process did not run.
    """
    monitor = HeartbeatMonitor()
    monitor.watch([OTHER_VM], 0)
    monitor.postpone(60, now=60)
    assert not monitor.take_expired(60)
    assert monitor.take_expired(60 + HEARTBEAT_TIMEOUT_SECONDS) == (OTHER_VM,)
