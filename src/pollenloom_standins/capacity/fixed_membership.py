"""Membership of a fleet in which nothing changes."""

from collections.abc import Callable

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import MemberState
from pollenloom.membership.member import Member
from pollenloom.membership.membership import Membership


class FixedMembership(Membership):
    """A number of live routers of one data centre; this is the first."""

    def __init__(self, routers: int) -> None:
        self.fixed = tuple(make_member(number) for number in range(routers))
        self.vms = tuple(member.vm for member in self.fixed)

    @property
    def own(self) -> Member:
        """Entry of the first router."""
        return self.fixed[0]

    async def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""

    def members(self) -> tuple[Member, ...]:
        """All routers."""
        return self.fixed

    def live(self, data_centre: DataCentreId | None = None) -> tuple[VmId, ...]:
        """Ids of all routers."""
        return self.vms

    def ranked(
        self,
        key: str,
        data_centre: DataCentreId | None = None,
    ) -> tuple[VmId, ...]:
        """All routers, in the order of their ids."""
        return self.vms

    def watch(self, listener: Callable[[], None]) -> None:
        """Nothing changes, so that nobody is called."""


def make_member(number: int) -> Member:
    """Return a live router."""
    return Member(
        vm=VmId(f'router-{number:03}'),
        data_centre=DataCentreId('dc-1'),
        peer_address=f'127.0.0.1:{number + 1}',
        operator_address='127.0.0.1:1',
        incarnation=1,
        state=MemberState.ALIVE,
    )
