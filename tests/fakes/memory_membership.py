"""Membership as a test sets it."""

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
    """A list of live members, shared by the VMs of a test.

    Attributes:
        fleet: Live members in the order in which they rank.
    """

    def __init__(self, own: Member, fleet: list[Member]) -> None:
        self.own_member = own
        self.fleet = fleet
        self.learned: set[VmId] = set()

    async def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""

    @property
    def own(self) -> Member:
        """Entry of this VM."""
        return self.own_member

    def members(self) -> tuple[Member, ...]:
        """All members."""
        return tuple(sorted(self.fleet, key=lambda member: member.vm))

    def live(self, data_centre: DataCentreId | None = None) -> tuple[VmId, ...]:
        """Ids of live VMs."""
        return tuple(sorted(self.ranked('', data_centre)))

    def ranked(
        self,
        key: str,
        data_centre: DataCentreId | None = None,
    ) -> tuple[VmId, ...]:
        """VMs in the order of the fleet, whatever the key."""
        return tuple(
            member.vm
            for member in self.fleet
            if data_centre in {None, member.data_centre}
        )

    def learn_addresses(self, entries: Iterable[VmEntry]) -> None:
        """Remember which VMs the platform listed."""
        self.learned = {entry.vm for entry in entries}

    def watch(self, listener: Callable[[], None]) -> None:
        """No changes are told."""
