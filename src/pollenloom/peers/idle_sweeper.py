"""Closing of idle connections."""

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.peers.peer_connection import PeerConnection

# The peers of a router change as routers join and leave. Without a limit,
# connections to former peers would accumulate.
SWEEP_INTERVAL_SECONDS = 20
# Close reason by which the other side distinguishes this from a lost
# connection.
IDLE_REASON = 'idle'


class IdleSweeper:
    """Closes connections on which no frame passed for 20 to 40 s.

    Only the connecting side closes a connection, so that the two sides do
    not close and reopen it at the same time.
    """

    def __init__(
        self,
        local_vm: 'VmId',
        connections: 'set[PeerConnection]',
    ) -> None:
        self.local_vm = local_vm
        self.connections = connections

    async def run(self) -> None:
        """Close idle connections at each sweep until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            await asyncio.gather(
                *[
                    connection.socket.close(reason=IDLE_REASON)
                    for connection in self.find_idle()
                ],
            )

    def find_idle(self) -> tuple['PeerConnection', ...]:
        """Return the connections to close.

        These were opened by this router and had no frame since the last
        call.
        """
        return tuple(
            connection
            for connection in self.connections
            if connection.connector == self.local_vm and connection.check_idle()
        )
