"""Entry of the membership protocol for one VM of the fleet."""

import msgspec

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import MemberState


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Entry about one router, replicated to all routers.

    Attributes:
        vm: Id of the VM.
        data_centre: Data centre of the VM.
        peer_address: `host:port` for other routers.
        operator_address: `host:port` for operators.
        incarnation: Increases at each restart and each refutation; the entry
            with the higher incarnation replaces the other.
        state: State of the router in this incarnation.
    """

    vm: VmId
    data_centre: DataCentreId
    peer_address: str
    operator_address: str
    incarnation: int
    state: MemberState

    @property
    def is_live(self) -> bool:
        """Whether the router can own pools."""
        return self.state in {MemberState.ALIVE, MemberState.SUSPECT}
