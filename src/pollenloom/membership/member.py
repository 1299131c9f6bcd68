"""A VM of the fleet as the membership protocol describes it."""

import msgspec

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import MemberState


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """What all routers know of one router.

    Attributes:
        vm: Id of the VM.
        data_centre: Where it is.
        peer_address: `host:port` for other routers.
        operator_address: `host:port` for operators.
        incarnation: Grows at each restart and each refutation; the entry
            with the higher incarnation replaces the other.
        state: Its state.
    """

    vm: VmId
    data_centre: DataCentreId
    peer_address: str
    operator_address: str
    incarnation: int
    state: MemberState

    @property
    def is_live(self) -> bool:
        """Whether it takes part in ownership of pools."""
        return self.state in {MemberState.ALIVE, MemberState.SUSPECT}
