"""Membership with members that the test sets."""

from collections.abc import Callable, Iterable

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import MemberState
from pollenloom.log_service.vm_entry import VmEntry
from pollenloom.membership.member import Member
from pollenloom.membership.membership import Membership


def make_member(vm: str, data_centre: str) -> Member:
    """Return a live member."""
    return Member(
        vm=VmId(vm),
        data_centre=DataCentreId(data_centre),
        peer_address='127.0.0.1:1',
        operator_address='127.0.0.1:2',
        incarnation=1,
        state=MemberState.ALIVE,
    )


class MemoryMembership(Membership):
    """A list of live members that all VMs of a test share.

    Attributes:
        member: Entry of this VM.
        fleet: Live members in the order of their rank.
        learned: VMs of the platform's latest list.
    """

    def __init__(self, local_member: Member, fleet: list[Member]) -> None:
        self.member = local_member
        self.fleet = fleet
        self.learned: set[VmId] = set()

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    @property
    def local_member(self) -> Member:
        """Entry of this VM."""
        return self.member

    def members(self) -> tuple[Member, ...]:
        """Return all members, sorted by VM."""
        return tuple(sorted(self.fleet, key=lambda member: member.vm))

    def live(self, data_centre: DataCentreId | None = None) -> tuple[VmId, ...]:
        """Return the ids of live VMs, of one data centre if given, sorted."""
        return tuple(sorted(self.ranked('', data_centre)))

    def ranked(
        self,
        key: str,
        data_centre: DataCentreId | None = None,
    ) -> tuple[VmId, ...]:
        """Return VMs in the order of the fleet; the key has no effect."""
        return tuple(
            member.vm
            for member in self.fleet
            if data_centre in {None, member.data_centre}
        )

    def add_addresses(self, entries: Iterable[VmEntry]) -> None:
        """Record which VMs the platform listed."""
        self.learned = {entry.vm for entry in entries}

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Does nothing: the listener is never called."""
