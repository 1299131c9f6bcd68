"""Interface of the peer network that the membership uses."""

from abc import abstractmethod
from collections.abc import Callable, Iterable
from enum import Enum, unique

from expression import Result

from pollenloom.core.failure import Failure
from pollenloom.core.ids import VmId
from pollenloom.peers.peer_message import PeerMessage
from pollenloom.peers.peer_network import PeerNetwork


@unique
class LinkEvent(Enum):
    """Change of the connection with a peer."""

    OPENED = 'opened'
    LOST = 'lost'
    # The host of the peer refused the connection, or another VM accepted it.
    REFUSED = 'refused'
    # No response, or one that proves nothing about the peer.
    UNREACHABLE = 'unreachable'


LinkListener = Callable[[VmId, LinkEvent], None]


class ObservablePeerNetwork(PeerNetwork):
    """Peer network that reports changes of its connections."""

    @property
    @abstractmethod
    def address(self) -> str:
        """`host:port` to which other routers connect; known after start."""

    @abstractmethod
    def add_link_listener(self, listener: LinkListener) -> None:
        """Call `listener(vm, event)` after each change of a connection."""

    @abstractmethod
    def send_all(self, vms: Iterable[VmId], message: PeerMessage) -> None:
        """Queue one message for several other VMs; it is encoded once."""

    @abstractmethod
    async def connect(self, address: str) -> Result[VmId, Failure]:
        """Connect to an address and return the VM that accepts there.

        Errors:
            PEER_UNAVAILABLE: Nothing listens there, or this VM does.
            PEER_TIMEOUT: There was no response, or the connection broke.
            PROTOCOL_ERROR: The other side is not a router of this fleet.
        """

    @abstractmethod
    def disconnect(self, vm: VmId) -> None:
        """Close the connections with a VM and drop its queued frames."""

    @abstractmethod
    async def flush(self, timeout_seconds: float) -> bool:
        """Wait until the queues of open connections are empty.

        Returns False if they are not within the timeout.
        """
