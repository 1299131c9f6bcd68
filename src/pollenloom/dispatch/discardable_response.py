"""Responses whose connection can be closed after its release."""

import asyncio

from aiohttp import ClientResponse
from aiohttp.connector import Connection


class DiscardableResponse(ClientResponse):
    """Response that can close its connection after aiohttp released it.

    aiohttp releases a connection to its pool as soon as a complete response has
    arrived, which may be before the router finds that the response is invalid.

    Attributes:
        used_transport: Transport of the connection; None before the head of
            the response is read.
    """

    used_transport: asyncio.Transport | None = None

    async def start(self, connection: Connection) -> ClientResponse:
        """Read the head of the response."""
        self.used_transport = connection.transport
        return await super().start(connection)

    def discard(self) -> None:
        """Close the connection, so that no later request reuses it."""
        self.close()
        if self.used_transport is not None:
            self.used_transport.close()
