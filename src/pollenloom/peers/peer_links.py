"""Interface of the peer network for the membership."""

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
    """What happened to the connection with a peer."""

    OPENED = 'opened'
    LOST = 'lost'
    # The peer's host answered that nothing listens at its address.
    REFUSED = 'refused'
    # No answer, or one that proves nothing about the peer.
    UNREACHABLE = 'unreachable'


LinkListener = Callable[[VmId, LinkEvent], None]


class PeerLinks(PeerNetwork):
    """A peer network that tells about its connections."""

    @property
    @abstractmethod
    def address(self) -> str:
        """`host:port` that other routers connect to; known after start."""

    @abstractmethod
    def observe(self, listener: LinkListener) -> None:
        """Call `listener(vm, event)` when a connection changes."""

    @abstractmethod
    def send_all(self, vms: Iterable[VmId], message: PeerMessage) -> None:
        """Send one message to several VMs; it is encoded once."""

    @abstractmethod
    async def greet(self, address: str) -> Result[VmId, Failure]:
        """Connect to an address and return the VM that accepts there."""

    @abstractmethod
    def disconnect(self, vm: VmId) -> None:
        """Close the connection with a VM and drop what is queued for it."""

    @abstractmethod
    async def flush(self, timeout_seconds: float) -> bool:
        """Wait until the queues of open connections are empty."""
