"""Decisions about the state of each router."""

from types import MappingProxyType
from typing import TYPE_CHECKING

import msgspec
import xxhash

from pollenloom.core.states import MemberState

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.membership.member import Member

# Three heartbeats of 0.5 s.
SILENCE_SECONDS = 1.5
# Time that a suspect has to refute before its neighbours declare it dead.
SUSPECT_SECONDS = 1.5
# Routers without a link to a suspect leave the verdict to its neighbours, so
# that a slow router that its neighbours hear is not declared dead by others.
HEARSAY_SECONDS = 4.5
# Longer than data centres stay cut off from each other on most days.
FORGET_SECONDS = 1800
# Incarnations of forgotten routers: some weeks of replaced VMs.
REMEMBERED_INCARNATIONS = 4096

STATE_RANK = MappingProxyType(
    {
        MemberState.ALIVE: 0,
        MemberState.SUSPECT: 1,
        MemberState.LEAVING: 2,
        MemberState.DEAD: 3,
    }
)


def precedence(member: 'Member') -> tuple[int, int, str, str, str]:
    """Total order of the entries of one VM; the greatest one holds."""
    return (
        member.incarnation,
        STATE_RANK[member.state],
        member.data_centre,
        member.peer_address,
        member.operator_address,
    )


def fingerprint(member: 'Member') -> int:
    """Hash of the entry for digests; 0 for a dead member.

    The dead are left out since routers forget them at different times.
    """
    if member.state is MemberState.DEAD:
        return 0
    return xxhash.xxh3_64_intdigest(
        f'{member.vm} {member.incarnation} {member.state.value}'.encode(),
    )


class MemberTable:
    """Entries of all known routers, merged by incarnation and state.

    Attributes:
        own: Entry of this VM; only this VM raises its incarnation.
        entries: All entries, with the own one.
        deadlines: When a suspect or silent leaving member is dead, and when
            a dead one is forgotten; monotonic seconds.
        forgotten: Last incarnations of forgotten members.
        changes: Entries changed since `take_changes`.
        digest: Hash of all entries that are not dead.
        version: Grows with each change.
    """

    def __init__(self, own: 'Member') -> None:
        self.own = own
        self.entries: dict[VmId, Member] = {}
        self.deadlines: dict[VmId, float] = {}
        self.forgotten: dict[VmId, int] = {}
        self.changes: dict[VmId, Member] = {}
        self.digest = 0
        self.version = 0
        self.store(own)

    def merge(self, entry: 'Member', now: float) -> bool:
        """Take an entry heard from others; return whether it changed any."""
        if entry.vm == self.own.vm:
            return self.answer(entry)
        current = self.entries.get(entry.vm)
        if current is None:
            if entry.incarnation <= self.forgotten.get(entry.vm, -1):
                return False
        elif precedence(entry) <= precedence(current):
            return False
        self.store(entry)
        self.deadlines.pop(entry.vm, None)
        if entry.state is MemberState.SUSPECT:
            self.deadlines[entry.vm] = now + HEARSAY_SECONDS
        elif entry.state is MemberState.DEAD:
            self.deadlines[entry.vm] = now + FORGET_SECONDS
        return True

    def answer(self, entry: 'Member') -> bool:
        """Refute an entry about this VM unless it is older or the same."""
        if precedence(entry) <= precedence(self.own):
            return False
        self.refute(entry.incarnation)
        return True

    def refute(self, incarnation: int = 0) -> None:
        """Raise the own incarnation above the given and the present one."""
        highest = max(incarnation, self.own.incarnation)
        self.replace_own(self.own.state, highest + 1)

    def leave(self) -> None:
        """Set the own state to leaving."""
        self.replace_own(MemberState.LEAVING, self.own.incarnation + 1)

    def replace_own(self, state: MemberState, incarnation: int) -> None:
        """Set state and incarnation of the own entry."""
        self.own = msgspec.structs.replace(
            self.own,
            state=state,
            incarnation=incarnation,
        )
        self.store(self.own)

    def suspect(self, vm: 'VmId', now: float, delay_seconds: float) -> bool:
        """Suspect a member, to be dead after a delay unless it refutes.

        A leaving member stays leaving until then.

        Returns:
            Whether its entry changed.
        """
        current = self.entries.get(vm)
        if current is None or vm == self.own.vm:
            return False
        if current.state is MemberState.DEAD:
            return False
        deadline = now + delay_seconds
        self.deadlines[vm] = min(deadline, self.deadlines.get(vm, deadline))
        if current.state is not MemberState.ALIVE:
            return False
        self.store(msgspec.structs.replace(current, state=MemberState.SUSPECT))
        return True

    def heard(self, vm: 'VmId', now: float) -> None:
        """Postpone the death of a member that was heard directly."""
        current = self.entries.get(vm)
        if current is None or vm not in self.deadlines:
            return
        if current.state is MemberState.SUSPECT:
            self.deadlines[vm] = now + SILENCE_SECONDS + SUSPECT_SECONDS
        elif current.state is MemberState.LEAVING:
            self.deadlines.pop(vm)

    def advance(self, now: float) -> bool:
        """Declare dead and forget whose time is over.

        Returns:
            Whether any entry changed.
        """
        due = [vm for vm, when in self.deadlines.items() if when <= now]
        for vm in due:
            current = self.entries[vm]
            if current.state is MemberState.DEAD:
                self.forget(current)
                continue
            self.store(msgspec.structs.replace(current, state=MemberState.DEAD))
            self.deadlines[vm] = now + FORGET_SECONDS
        return bool(due)

    def postpone(self, seconds: float, now: float) -> None:
        """Give suspects the time in which this process was not running."""
        for vm, deadline in self.deadlines.items():
            if self.entries[vm].state is not MemberState.DEAD:
                latest = now + HEARSAY_SECONDS
                self.deadlines[vm] = min(deadline + seconds, latest)

    def next_deadline(self) -> float:
        """When `advance` has something to do; infinity if never."""
        return min(self.deadlines.values(), default=float('inf'))

    def take_changes(self) -> tuple['Member', ...]:
        """Return the entries changed since the last call."""
        changes = tuple(self.changes.values())
        self.changes.clear()
        return changes

    def store(self, entry: 'Member') -> None:
        """Set an entry and note the change."""
        current = self.entries.get(entry.vm)
        if current is not None:
            self.digest ^= fingerprint(current)
        self.digest ^= fingerprint(entry)
        self.entries[entry.vm] = entry
        self.changes[entry.vm] = entry
        self.version += 1

    def forget(self, entry: 'Member') -> None:
        """Drop a dead entry but remember its incarnation."""
        self.entries.pop(entry.vm)
        self.deadlines.pop(entry.vm)
        self.changes.pop(entry.vm, None)
        self.forgotten.pop(entry.vm, None)
        self.forgotten[entry.vm] = entry.incarnation
        if len(self.forgotten) > REMEMBERED_INCARNATIONS:
            self.forgotten.pop(next(iter(self.forgotten)))
        self.version += 1
