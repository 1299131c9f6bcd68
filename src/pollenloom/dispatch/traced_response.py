"""Answers that know the connection they came on."""

import asyncio

from aiohttp import ClientResponse
from aiohttp.connector import Connection


class TracedResponse(ClientResponse):
    """Can close its connection after the library has taken it back.

    The library takes a connection back as soon as an answer has arrived
    whole, which may be before the router has seen that it is a wrong one.
    """

    used_transport: asyncio.Transport | None = None

    async def start(self, connection: Connection) -> ClientResponse:
        """Read the head of the answer."""
        self.used_transport = connection.transport
        return await super().start(connection)

    def discard(self) -> None:
        """Close the connection, so that no later request meets it."""
        self.close()
        if self.used_transport is not None:
            self.used_transport.close()
