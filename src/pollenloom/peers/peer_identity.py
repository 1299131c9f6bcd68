"""Identity of a router in the handshake."""

import msgspec

from pollenloom.core.ids import DataCentreId, VmId


class PeerIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Identity that a router presents in the handshake.

    Attributes:
        vm: Id of its VM.
        data_centre: Data centre of the VM.
        incarnation: Its incarnation in the membership.
        address: `host:port` at which it accepts peers.
        process: Random number of the process. It distinguishes a second
            connection of one process from the first one after a restart.
    """

    vm: VmId
    data_centre: DataCentreId
    incarnation: int
    address: str
    process: int
