"""Closing of connections that are no longer used."""

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.peers.peer_connection import PeerConnection

# Links move when routers come and go; without a limit, connections of
# earlier links would add up.
SWEEP_SECONDS = 20
# Close reason by which the other side tells it from a loss.
IDLE_REASON = 'idle'


class IdleSweeper:
    """Closes connections without a frame for 20 to 40 s.

    Only the connecting side closes them, so that both sides do not close
    and reopen at the same time.
    """

    def __init__(
        self,
        own_vm: 'VmId',
        connections: 'set[PeerConnection]',
    ) -> None:
        self.own_vm = own_vm
        self.connections = connections

    async def run(self) -> None:
        """Look for idle connections from time to time."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            await asyncio.gather(
                *[
                    connection.socket.close(reason=IDLE_REASON)
                    for connection in self.idle()
                ],
            )

    def idle(self) -> tuple['PeerConnection', ...]:
        """Own connections without a frame since the last call."""
        return tuple(
            connection
            for connection in self.connections
            if connection.connector == self.own_vm and connection.is_idle()
        )
