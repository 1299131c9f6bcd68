"""What this router keeps for one peer."""

from typing import TYPE_CHECKING

from pollenloom.peers.peer_queue import PeerQueue

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.peers.peer_connection import PeerConnection

# Bounds the memory that one silent peer holds, and lasts for some seconds.
QUEUE_LIMIT = 1024


class PeerLink:
    """Queue and connection of one peer.

    Attributes:
        vm: Id of the peer's VM.
        queue: Frames to send, kept while there is no connection.
        connection: Connection that frames are written to.
        is_dialling: Whether a task tries to connect.
    """

    def __init__(self, vm: 'VmId') -> None:
        self.vm = vm
        self.queue = PeerQueue(QUEUE_LIMIT)
        self.connection: PeerConnection | None = None
        self.is_dialling = False

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent now."""
        return self.connection is not None and self.connection.is_open

    @property
    def wants_connection(self) -> bool:
        """Whether frames wait for a connection."""
        return bool(self.queue.frames) and not self.is_open

    def adopt(
        self,
        connection: 'PeerConnection',
        own_vm: 'VmId',
    ) -> 'PeerConnection | None':
        """Take a new connection; return the one to close, if any.

        The one to close is the new connection if the current one stays.
        """
        current = self.connection
        if current is not None and not connection.replaces(current, own_vm):
            return connection
        self.connection = connection
        return current

    def release(self, connection: 'PeerConnection') -> bool:
        """Forget a closed connection; return whether it was in use."""
        if self.connection is not connection:
            return False
        self.connection = None
        return True
