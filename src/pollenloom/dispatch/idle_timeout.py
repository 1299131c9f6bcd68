"""Idle timeout of an event stream."""

import asyncio
from typing import Self

import aiohttp


class IdleTimeout:
    """Ends a stream whose server sends nothing for too long.

    The client library resets its timer for each event, which costs more than
    relaying the event. This timer is checked once per timeout instead.

    Attributes:
        seconds: Longest time without bytes of the stream.
        waiting_since: Event loop time since which the next bytes are awaited;
            None while a slow caller blocks the relay.
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
        """End the stream if it timed out, else schedule the next check."""
        remaining_seconds = self.seconds
        if self.waiting_since is not None:
            remaining_seconds += self.waiting_since - self.loop.time()
        if remaining_seconds > 0:
            self.timer = self.loop.call_later(remaining_seconds, self.check)
        else:
            self.content.set_exception(aiohttp.SocketTimeoutError('silence'))
