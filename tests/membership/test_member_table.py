"""Failures of the decisions about the state of routers."""

from collections.abc import Iterable

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import MemberState
from pollenloom.membership.heartbeat_monitor import (
    MAX_PATIENCE_SECONDS,
    HeartbeatMonitor,
)
from pollenloom.membership.member import Member
from pollenloom.membership.member_table import (
    FORGET_SECONDS,
    HEARSAY_SECONDS,
    SILENCE_SECONDS,
    SUSPECT_SECONDS,
    MemberTable,
)
from pollenloom.membership.refusal_evaluator import (
    MAX_PAUSE_SECONDS,
    RefusalEvaluator,
)

OWN = VmId('vm-own')
OTHER = VmId('vm-1')


def entry(
    vm: str = OTHER,
    incarnation: int = 1,
    state: MemberState = MemberState.ALIVE,
    address: str = '127.0.0.1:1',
) -> Member:
    """Make an entry."""
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
    """Return a table that took the entries in that order."""
    table = MemberTable(entry(OWN))
    for batch in batches:
        for member in batch:
            table.merge(member, now=0)
    return table


@given(first=ENTRIES, second=ENTRIES, third=ENTRIES)
def test_merge_is_a_join(
    first: list[Member],
    second: list[Member],
    third: list[Member],
) -> None:
    """Guards against tables that depend on the order of the gossip."""
    together = merged(first, second, third)
    grouped = merged(first, merged(second, third).entries.values())
    assert together.entries == merged(third, second, first).entries
    assert together.entries == grouped.entries
    assert together.entries == merged(first, second, third, second).entries
    assert together.digest == grouped.digest


@given(entries=ENTRIES, waits=st.lists(st.floats(0, 2000), max_size=12))
def test_incarnations_never_go_back(
    entries: list[Member],
    waits: list[float],
) -> None:
    """Guards against old gossip that revives a dead or forgotten router."""
    table = merged()
    highest: dict[VmId, int] = {}
    now: float = 0
    for member, wait in zip(entries, waits, strict=False):
        now += wait
        table.merge(member, now)
        table.suspect(member.vm, now, SUSPECT_SECONDS)
        table.advance(now)
        for vm, known in table.entries.items():
            assert known.incarnation >= highest.get(vm, 0)
            highest[vm] = known.incarnation


@given(entries=st.lists(st.builds(entry, st.just(OWN), st.integers(0, 3))))
def test_own_entry_is_never_taken_from_others(entries: list[Member]) -> None:
    """Guards against a router that believes a rumour about itself."""
    told = [
        msgspec.structs.replace(member, state=MemberState.DEAD)
        for member in entries
    ]
    table = merged(told)
    assert table.own.state is MemberState.ALIVE
    assert all(table.own.incarnation > member.incarnation for member in told)


def test_silent_member_dies_unless_it_refutes() -> None:
    """Guards against the loss of a live router and against a dead one kept."""
    table = merged([entry()])
    assert table.suspect(OTHER, 0, SUSPECT_SECONDS)
    table.advance(SUSPECT_SECONDS - 0.1)
    assert table.entries[OTHER].state is MemberState.SUSPECT
    table.merge(entry(incarnation=2), now=1)
    assert table.entries[OTHER].state is MemberState.ALIVE
    table.suspect(OTHER, 2, SUSPECT_SECONDS)
    table.advance(2 + SUSPECT_SECONDS)
    assert table.entries[OTHER].state is MemberState.DEAD
    assert not table.merge(entry(incarnation=2), now=5)


def test_hearsay_kills_later_than_own_silence() -> None:
    """Guards against verdicts by routers that have no link to a suspect."""
    table = merged([entry(state=MemberState.SUSPECT)])
    table.advance(HEARSAY_SECONDS - 0.1)
    assert table.entries[OTHER].state is MemberState.SUSPECT
    table.advance(HEARSAY_SECONDS)
    assert table.entries[OTHER].state is MemberState.DEAD


def test_slow_member_that_is_heard_lives() -> None:
    """Guards against a slow router declared dead while it sends."""
    table = merged([entry()])
    now: float = 0
    for _ in range(10):
        table.suspect(OTHER, now, SUSPECT_SECONDS)
        table.heard(OTHER, now + 1)
        now += SILENCE_SECONDS + SUSPECT_SECONDS - 0.5
        table.advance(now)
        assert table.entries[OTHER].state is MemberState.SUSPECT


def test_forgotten_incarnation_is_remembered() -> None:
    """Guards against old gossip that revives a router after days."""
    table = merged([entry(state=MemberState.DEAD)])
    table.advance(FORGET_SECONDS)
    assert OTHER not in table.entries
    assert not table.merge(entry(), now=FORGET_SECONDS)
    assert table.merge(entry(incarnation=2), now=FORGET_SECONDS)


def test_leaving_member_stays_leaving_until_dead() -> None:
    """Guards against new work for a leaving router that falls silent."""
    table = merged([entry(state=MemberState.LEAVING)])
    assert not table.suspect(OTHER, 0, SUSPECT_SECONDS)
    assert table.entries[OTHER].state is MemberState.LEAVING
    table.advance(SUSPECT_SECONDS)
    assert table.entries[OTHER].state is MemberState.DEAD


def test_monitor_waits_longer_for_those_heard_by_others() -> None:
    """Guards against endless suspicions over one cut path."""
    monitor = HeartbeatMonitor()
    monitor.watch([OTHER], 0)
    now: float = 0
    waits: list[float] = []
    for _ in range(6):
        waits.append(monitor.next_deadline() - now)
        now = monitor.next_deadline()
        assert monitor.silent(now) == (OTHER,)
        assert not monitor.silent(now)
        monitor.refuted(OTHER, now)
    assert waits == [1.5, 3, 6, 12, 24, MAX_PATIENCE_SECONDS]
    monitor.heard(OTHER, now)
    assert monitor.next_deadline() == now + SILENCE_SECONDS


def test_refusals_count_less_after_each_refutation() -> None:
    """Guards against endless suspicions over a path that refuses."""
    evaluator = RefusalEvaluator()
    now: float = 0
    for pause in (1.5, 3, 6, 12, 24, MAX_PAUSE_SECONDS):
        assert evaluator.refused(OTHER, now)
        evaluator.refuted(OTHER, now)
        assert not evaluator.refused(OTHER, now + pause - 0.1)
        now += pause
    evaluator.refuted(OTHER, now)
    assert evaluator.refused(OTHER, now)
    evaluator.refuted(OTHER, now)
    evaluator.reset(OTHER)
    assert evaluator.refused(OTHER, now)


def test_pause_of_this_router_blames_nobody() -> None:
    """Guards against a router that suspects all others after a freeze."""
    monitor = HeartbeatMonitor()
    monitor.watch([OTHER], 0)
    monitor.postpone(60, now=60)
    assert not monitor.silent(60)
    assert monitor.silent(60 + SILENCE_SECONDS) == (OTHER,)
