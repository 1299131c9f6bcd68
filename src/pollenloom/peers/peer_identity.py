"""Who is at the other end of a connection."""

import msgspec

from pollenloom.core.ids import DataCentreId, VmId


class PeerIdentity(msgspec.Struct, frozen=True, array_like=True):
    """A router as it names itself in the handshake.

    Attributes:
        vm: Id of its VM.
        data_centre: Where it is.
        incarnation: Its incarnation in the membership.
        address: `host:port` on which it accepts peers.
        process: Random number of the process. It tells a second connection
            of one process from the first one of a restarted process.
    """

    vm: VmId
    data_centre: DataCentreId
    incarnation: int
    address: str
    process: int
