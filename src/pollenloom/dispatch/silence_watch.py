"""Limit on the silence of an event stream."""

import asyncio
from typing import Self

import aiohttp


class SilenceWatch:
    """Ends a stream whose server sends nothing for too long.

    The timer of the client library is set anew for each event, which takes
    longer than relaying it; this one runs once in the limit.

    Attributes:
        waiting_since: Time of the loop from which the next bytes are awaited;
            none while a slow reader holds the relay up.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        seconds: float,
    ) -> None:
        self.content = response.content
        self.seconds = seconds
        self.loop = asyncio.get_running_loop()
        self.waiting_since: float | None = self.loop.time()
        connection = response.connection
        if connection is not None and connection.protocol is not None:
            connection.protocol.read_timeout = None

    def __enter__(self) -> Self:
        """Start the timer."""
        self.timer = self.loop.call_later(self.seconds, self.check)
        return self

    def __exit__(self, *_exception: object) -> None:
        """Stop the timer."""
        self.timer.cancel()

    def check(self) -> None:
        """End the stream, or look again when it would be due."""
        left = self.seconds
        if self.waiting_since is not None:
            left += self.waiting_since - self.loop.time()
        if left > 0:
            self.timer = self.loop.call_later(left, self.check)
        else:
            self.content.set_exception(aiohttp.SocketTimeoutError('silence'))
