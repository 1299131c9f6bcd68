"""HTTP connector that does not cancel running connection attempts."""

import asyncio
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

Connection = tuple[asyncio.Transport, ResponseHandler]


class ShieldedConnector(aiohttp.TCPConnector):
    """Lets a connection attempt complete when its request is cancelled.

    A cancelled attempt closes its socket although uvloop 0.22.1 already has a
    transport on it. The descriptor is then closed twice. If it was reused in
    between, libuv aborts the process (seen with soak seed 611).

    Attributes:
        attempts: Running connection attempts.
    """

    def __init__(self, *, limit: int = 0, force_close: bool = False) -> None:
        super().__init__(limit=limit, force_close=force_close)
        self.attempts: set[asyncio.Task[Connection]] = set()

    async def _wrap_create_connection(
        self,
        *args: Any,
        **kwargs: Any,
    ) -> Connection:
        attempt = asyncio.ensure_future(
            super()._wrap_create_connection(*args, **kwargs),
        )
        self.attempts.add(attempt)
        attempt.add_done_callback(self.attempts.discard)
        try:
            return await asyncio.shield(attempt)
        except asyncio.CancelledError:
            attempt.add_done_callback(close_unused)
            raise


def close_unused(attempt: asyncio.Task[Connection]) -> None:
    """Close the connection of an attempt whose request was cancelled."""
    if attempt.cancelled() or attempt.exception() is not None:
        return
    transport, _ = attempt.result()
    transport.abort()
