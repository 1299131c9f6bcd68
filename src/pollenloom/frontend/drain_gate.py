"""Accepted requests, and whether further ones are accepted."""

import asyncio


class DrainGate:
    """Counts running requests; used as a context for each of them.

    Attributes:
        ready: Whether the balancer should send new requests.
        refusing: Whether new requests are refused.
        running: Requests that were accepted and have not ended.
    """

    def __init__(self) -> None:
        self.ready = False
        self.refusing = False
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def __enter__(self) -> None:
        """Count a request that starts."""
        self.running += 1
        self.idle.clear()

    def __exit__(self, *_exception: object) -> None:
        """Count a request that ended."""
        self.running -= 1
        if not self.running:
            self.idle.set()

    async def close(self, grace_seconds: float) -> None:
        """Stop accepting after a grace time and wait for the accepted."""
        self.ready = False
        await asyncio.sleep(grace_seconds)
        self.refusing = True
        await self.idle.wait()
