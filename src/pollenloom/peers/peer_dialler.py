"""Opening of connections to other routers."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error, Result
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.peers.handshake import Handshake
from pollenloom.peers.link_options import LINK_OPTIONS

if TYPE_CHECKING:
    from websockets.asyncio.client import ClientConnection

    from pollenloom.peers.peer_identity import PeerIdentity

ANY_HOST = '0.0.0.0'


@dataclass(frozen=True, slots=True)
class DialledPeer:
    """A connection that passed the handshake.

    Attributes:
        socket: The websocket.
        identity: Router that accepted.
    """

    socket: 'ClientConnection'
    identity: 'PeerIdentity'


class PeerDialler:
    """Connects from the listen address and runs the handshake.

    With the listen address as source, the path between two routers is
    identified by source and target address.
    """

    def __init__(self, handshake: Handshake, listen_host: str) -> None:
        self.handshake = handshake
        self.local_address = None
        if listen_host != ANY_HOST:
            self.local_address = (listen_host, 0)

    async def dial(self, address: str) -> Result[DialledPeer, Failure]:
        """Connect and run the handshake.

        Errors:
            PEER_UNAVAILABLE: The host refuses the connection.
            PEER_TIMEOUT: There was no response, or the connection broke.
            PROTOCOL_ERROR: The other side is not a router of this fleet.
        """
        try:
            socket = await self.open(address)
        except ConnectionRefusedError as refusal:
            return Error(Failure(ErrorKind.PEER_UNAVAILABLE, str(refusal)))
        except (OSError, WebSocketException) as error:
            return Error(Failure(ErrorKind.PEER_TIMEOUT, str(error)))
        outcome = await self.handshake.connect(socket)
        if outcome.is_error():
            await socket.close()
        return outcome.map(lambda identity: DialledPeer(socket, identity))

    async def open(self, address: str) -> 'ClientConnection':
        """Open a websocket without compression and keep-alive pings.

        Heartbeats of the membership detect unreachable peers.
        """
        return await connect(
            f'ws://{address}',
            user_agent_header=None,
            proxy=None,
            local_addr=self.local_address,
            **LINK_OPTIONS,
        )
