"""One open connection with a peer."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from websockets.protocol import State

if TYPE_CHECKING:
    from websockets.asyncio.connection import Connection

    from pollenloom.peers.peer_identity import PeerIdentity

# Two connections opened within the time of a handshake may have crossed; an
# older one is replaced, since the peer would not open another one beside it.
CROSSING_SECONDS = 4


@dataclass(slots=True, eq=False)
class PeerConnection:
    """A websocket after its handshake.

    Attributes:
        socket: The websocket.
        remote: Who is at the other end.
        connector: VM id of the side that connected.
        opened_at: Monotonic time of the end of the handshake.
        frames: Frames read and written.
        swept_frames: Frames at the last search for idle connections.
    """

    socket: 'Connection'
    remote: 'PeerIdentity'
    connector: str
    opened_at: float
    frames: int = 0
    swept_frames: int = -1

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self.socket.state is State.OPEN

    def is_idle(self) -> bool:
        """Whether no frame passed since the last call."""
        is_idle = self.frames == self.swept_frames
        self.swept_frames = self.frames
        return is_idle

    def replaces(self, current: 'PeerConnection', own_vm: str) -> bool:
        """Whether this new connection takes over from the current one.

        Of two connections that crossed, both sides keep the one whose
        connector has the smaller VM id.
        """
        if not current.is_open:
            return True
        if self.remote.process != current.remote.process:
            return True
        if self.connector == current.connector:
            return True
        if self.opened_at - current.opened_at > CROSSING_SECONDS:
            return True
        return self.connector == min(own_vm, self.remote.vm)
