"""Tracking of accepted requests, for draining."""

import asyncio


class DrainBarrier:
    """Counts running requests; `rejecting` is set when new ones are rejected.

    Each running request holds it as a context manager.

    Attributes:
        ready: Whether the balancer should send new requests.
        rejecting: Whether new requests are rejected.
        running: Number of accepted requests that have not ended.
        idle: Set while no request is running.
    """

    def __init__(self) -> None:
        self.ready = False
        self.rejecting = False
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
        """Reject new requests after a grace period; wait for the running ones.

        In the grace period the balancer notices that `ready` is off.
        """
        self.ready = False
        await asyncio.sleep(grace_seconds)
        self.rejecting = True
        await self.idle.wait()
