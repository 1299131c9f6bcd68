"""State of one connection with a peer."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from websockets.protocol import State

if TYPE_CHECKING:
    from websockets.asyncio.connection import Connection

    from pollenloom.peers.peer_identity import PeerIdentity

# Two connections opened within the time of a handshake may come from both
# sides connecting at the same time. An older connection is replaced, since the
# peer opens no second connection while its first one works.
SIMULTANEOUS_CONNECT_SECONDS = 4


@dataclass(slots=True, eq=False)
class PeerConnection:
    """A websocket after its handshake.

    Attributes:
        socket: The websocket.
        remote: Identity of the peer.
        connector: VM id of the side that connected.
        opened_at: Monotonic time of the end of the handshake, in seconds.
        frame_count: Frames read and written.
        frames_at_last_sweep: Frame count at the last sweep for idle
            connections; -1 before the first one.
    """

    socket: 'Connection'
    remote: 'PeerIdentity'
    connector: str
    opened_at: float
    frame_count: int = 0
    frames_at_last_sweep: int = -1

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self.socket.state is State.OPEN

    def check_idle(self) -> bool:
        """Return whether no frame has passed since the last call."""
        is_idle = self.frame_count == self.frames_at_last_sweep
        self.frames_at_last_sweep = self.frame_count
        return is_idle

    def replaces(self, current: 'PeerConnection', local_vm: str) -> bool:
        """Whether this new connection replaces the current one.

        Of two connections opened at the same time, both sides keep the one
        whose connector has the smaller VM id.
        """
        if not current.is_open:
            return True
        if self.remote.process != current.remote.process:
            return True
        if self.connector == current.connector:
            return True
        if self.opened_at - current.opened_at > SIMULTANEOUS_CONNECT_SECONDS:
            return True
        return self.connector == min(local_vm, self.remote.vm)
