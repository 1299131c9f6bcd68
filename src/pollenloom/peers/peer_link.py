"""State that this router keeps for one peer."""

from typing import TYPE_CHECKING

from pollenloom.peers.peer_queue import PeerQueue

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.peers.peer_connection import PeerConnection

# Limits the memory that one unresponsive peer uses; enough frames for some
# seconds.
QUEUE_LIMIT = 1024


class PeerLink:
    """Send queue and connection of one peer.

    Attributes:
        vm: Id of the peer's VM.
        queue: Frames to send, kept while there is no connection.
        connection: Connection to which frames are written, if any.
        is_dialling: Whether a dialler task is running.
    """

    def __init__(self, vm: 'VmId') -> None:
        self.vm = vm
        self.queue = PeerQueue(QUEUE_LIMIT)
        self.connection: PeerConnection | None = None
        self.is_dialling = False

    @property
    def is_open(self) -> bool:
        """Whether the connection can send frames."""
        return self.connection is not None and self.connection.is_open

    @property
    def needs_connection(self) -> bool:
        """Whether frames are queued and there is no open connection."""
        return bool(self.queue.frames) and not self.is_open

    def attach(
        self,
        connection: 'PeerConnection',
        local_vm: 'VmId',
    ) -> 'PeerConnection | None':
        """Choose between a new and the current connection.

        Returns the connection to close: the new one if the current one is
        kept, else the current one, None if there was none.
        """
        current = self.connection
        if current is not None and not connection.replaces(current, local_vm):
            return connection
        self.connection = connection
        return current

    def detach(self, connection: 'PeerConnection') -> bool:
        """Remove a closed connection; return whether it was in use."""
        if self.connection is not connection:
            return False
        self.connection = None
        return True
