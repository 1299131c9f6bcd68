"""Table of the states of all routers."""

from types import MappingProxyType
from typing import TYPE_CHECKING

import msgspec
import xxhash

from pollenloom.core.states import MemberState

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.membership.member import Member

# Three heartbeat periods of 0.5 s.
HEARTBEAT_TIMEOUT_SECONDS = 1.5
# Time in which a suspect must refute before its neighbours declare it dead.
SUSPICION_TIMEOUT_SECONDS = 1.5
# The same for suspicions reported by other routers. Routers without a link to a
# suspect wait longer and leave the decision to its neighbours, so that they do
# not declare a slow router dead whose neighbours still receive its heartbeats.
REMOTE_SUSPICION_TIMEOUT_SECONDS = 4.5
# How long dead members are kept; longer than most partitions between data
# centres last.
DEAD_RETENTION_SECONDS = 1800
# Enough for the VMs that are replaced in some weeks.
MAX_REMOVED_INCARNATIONS = 4096

STATE_RANK = MappingProxyType(
    {
        MemberState.ALIVE: 0,
        MemberState.SUSPECT: 1,
        MemberState.LEAVING: 2,
        MemberState.DEAD: 3,
    }
)


def precedence(member: 'Member') -> tuple[int, int, str, str, str]:
    """Sort key of the entries of one VM; the greatest entry is kept."""
    return (
        member.incarnation,
        STATE_RANK[member.state],
        member.data_centre,
        member.peer_address,
        member.operator_address,
    )


def entry_hash(member: 'Member') -> int:
    """Hash of the entry for digests; 0 for a dead member.

    Dead members are left out because routers remove them at different times.
    """
    if member.state is MemberState.DEAD:
        return 0
    return xxhash.xxh3_64_intdigest(
        f'{member.vm} {member.incarnation} {member.state.value}'.encode(),
    )


class MemberTable:
    """Entries of all known routers, merged by incarnation and state.

    Attributes:
        local_member: Entry of this VM; only this VM raises its incarnation.
        entries: All entries, including that of this VM.
        deadlines: When a suspect, or a leaving member without heartbeats, is
            declared dead, and when a dead member is removed; monotonic
            seconds.
        removed_incarnations: Last incarnations of removed members.
        changes: Entries changed since `take_changes`.
        digest: Hash of all entries that are not dead.
        version: Increases with each change.
    """

    def __init__(self, local_member: 'Member') -> None:
        self.local_member = local_member
        self.entries: dict[VmId, Member] = {}
        self.deadlines: dict[VmId, float] = {}
        self.removed_incarnations: dict[VmId, int] = {}
        self.changes: dict[VmId, Member] = {}
        self.digest = 0
        self.version = 0
        self.store(local_member)

    def merge(self, entry: 'Member', now: float) -> bool:
        """Merge a received entry; return whether the table changed."""
        if entry.vm == self.local_member.vm:
            return self.merge_local_entry(entry)
        current = self.entries.get(entry.vm)
        if current is None:
            if entry.incarnation <= self.removed_incarnations.get(entry.vm, -1):
                return False
        elif precedence(entry) <= precedence(current):
            return False
        self.store(entry)
        self.deadlines.pop(entry.vm, None)
        if entry.state is MemberState.SUSPECT:
            self.deadlines[entry.vm] = now + REMOTE_SUSPICION_TIMEOUT_SECONDS
        elif entry.state is MemberState.DEAD:
            self.deadlines[entry.vm] = now + DEAD_RETENTION_SECONDS
        return True

    def merge_local_entry(self, entry: 'Member') -> bool:
        """Refute an entry about this VM unless it is older or the same.

        Returns:
            Whether the entry was refuted.
        """
        if precedence(entry) <= precedence(self.local_member):
            return False
        self.refute(entry.incarnation)
        return True

    def refute(self, incarnation: int = 0) -> None:
        """Raise the incarnation of this VM above the given and current ones."""
        highest = max(incarnation, self.local_member.incarnation)
        self.replace_local_member(self.local_member.state, highest + 1)

    def leave(self) -> None:
        """Set the state of this VM to leaving."""
        self.replace_local_member(
            MemberState.LEAVING, self.local_member.incarnation + 1
        )

    def replace_local_member(
        self, state: MemberState, incarnation: int
    ) -> None:
        """Set state and incarnation of the entry of this VM."""
        self.local_member = msgspec.structs.replace(
            self.local_member,
            state=state,
            incarnation=incarnation,
        )
        self.store(self.local_member)

    def suspect(self, vm: 'VmId', now: float, delay_seconds: float) -> bool:
        """Suspect a member; after a delay it is dead unless it refutes.

        A leaving member stays leaving until then. This VM and members that
        are unknown or dead are never suspected.

        Returns:
            Whether its entry changed.
        """
        current = self.entries.get(vm)
        if current is None or vm == self.local_member.vm:
            return False
        if current.state is MemberState.DEAD:
            return False
        deadline = now + delay_seconds
        self.deadlines[vm] = min(deadline, self.deadlines.get(vm, deadline))
        if current.state is not MemberState.ALIVE:
            return False
        self.store(msgspec.structs.replace(current, state=MemberState.SUSPECT))
        return True

    def record_heartbeat(self, vm: 'VmId', now: float) -> None:
        """Extend or clear the deadline of a member that sent a heartbeat."""
        current = self.entries.get(vm)
        if current is None or vm not in self.deadlines:
            return
        if current.state is MemberState.SUSPECT:
            self.deadlines[vm] = (
                now + HEARTBEAT_TIMEOUT_SECONDS + SUSPICION_TIMEOUT_SECONDS
            )
        elif current.state is MemberState.LEAVING:
            self.deadlines.pop(vm)

    def advance(self, now: float) -> bool:
        """Declare members dead and remove dead ones whose deadline has passed.

        Returns:
            Whether any entry changed.
        """
        due = [vm for vm, when in self.deadlines.items() if when <= now]
        for vm in due:
            current = self.entries[vm]
            if current.state is MemberState.DEAD:
                self.remove(current)
                continue
            self.store(msgspec.structs.replace(current, state=MemberState.DEAD))
            self.deadlines[vm] = now + DEAD_RETENTION_SECONDS
        return bool(due)

    def postpone(self, seconds: float, now: float) -> None:
        """Extend the deadlines by a time in which this process did not run."""
        for vm, deadline in self.deadlines.items():
            if self.entries[vm].state is not MemberState.DEAD:
                latest = now + REMOTE_SUSPICION_TIMEOUT_SECONDS
                self.deadlines[vm] = min(deadline + seconds, latest)

    def next_deadline(self) -> float:
        """When the next deadline passes; infinity if there is none."""
        return min(self.deadlines.values(), default=float('inf'))

    def take_changes(self) -> tuple['Member', ...]:
        """Return the entries changed since the last call."""
        changes = tuple(self.changes.values())
        self.changes.clear()
        return changes

    def store(self, entry: 'Member') -> None:
        """Set an entry and record the change."""
        current = self.entries.get(entry.vm)
        if current is not None:
            self.digest ^= entry_hash(current)
        self.digest ^= entry_hash(entry)
        self.entries[entry.vm] = entry
        self.changes[entry.vm] = entry
        self.version += 1

    def remove(self, entry: 'Member') -> None:
        """Remove a dead entry but keep its incarnation.

        A late entry of that incarnation must not readmit the member.
        """
        self.entries.pop(entry.vm)
        self.deadlines.pop(entry.vm)
        self.changes.pop(entry.vm, None)
        self.removed_incarnations.pop(entry.vm, None)
        self.removed_incarnations[entry.vm] = entry.incarnation
        if len(self.removed_incarnations) > MAX_REMOVED_INCARNATIONS:
            self.removed_incarnations.pop(next(iter(self.removed_incarnations)))
        self.version += 1
