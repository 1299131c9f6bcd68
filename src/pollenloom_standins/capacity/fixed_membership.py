"""Membership service of a fleet that never changes."""

from collections.abc import Callable

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import MemberState
from pollenloom.membership.member import Member
from pollenloom.membership.membership import Membership


class FixedMembership(Membership):
    """Live routers of one data centre; the local VM is the first."""

    def __init__(self, router_count: int) -> None:
        self.routers = tuple(
            make_member(number) for number in range(router_count)
        )
        self.vms = tuple(member.vm for member in self.routers)

    @property
    def local_member(self) -> Member:
        """Entry of the local VM, the first router."""
        return self.routers[0]

    async def start(self) -> None:
        """Does nothing: there are no background tasks."""

    async def stop(self) -> None:
        """Does nothing: there are no background tasks."""

    def members(self) -> tuple[Member, ...]:
        """All routers."""
        return self.routers

    def live(self, data_centre: DataCentreId | None = None) -> tuple[VmId, ...]:
        """Ids of all routers, whichever data centre is asked for."""
        return self.vms

    def ranked(
        self,
        key: str,
        data_centre: DataCentreId | None = None,
    ) -> tuple[VmId, ...]:
        """All routers, sorted by id instead of by the hash of `key`."""
        return self.vms

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Ignores the listener, because the membership never changes."""


def make_member(number: int) -> Member:
    """Return the entry of a live router."""
    return Member(
        vm=VmId(f'router-{number:03}'),
        data_centre=DataCentreId('dc-1'),
        peer_address=f'127.0.0.1:{number + 1}',
        operator_address='127.0.0.1:1',
        incarnation=1,
        state=MemberState.ALIVE,
    )
