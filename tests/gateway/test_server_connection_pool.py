"""Connections to backend servers that fail while they are opened."""

import asyncio
from collections.abc import Callable

import pytest

from pollenloom.core.error_kind import ErrorKind
from pollenloom.gateway.server_channel import ServerChannel
from pollenloom.gateway.server_connection_pool import ServerConnectionPool
from pollenloom.kernel.kernel import Kernel
from pollenloom.platform.platform_header_codec import PlatformHeaderCodec


class ClosedTransport:
    """Transport of a connection that has already ended."""

    def get_extra_info(self, _name: str) -> None:
        """Return nothing, as a closed transport does."""


class ClosingLoop:
    """Event loop whose connections are closed as soon as they open."""

    async def create_connection(
        self, factory: Callable[[], ServerChannel], *_: str
    ) -> tuple[ClosedTransport, ServerChannel]:
        """Return a connection that has already ended."""
        await asyncio.sleep(0)
        return ClosedTransport(), factory()


async def test_connection_that_is_closed_at_once_is_a_failure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an exception that ends the caller's connection.

    Seen at a loaded router of scale-1 while servers crashed.
    """
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(
        'pollenloom.gateway.server_connection_pool.asyncio.get_running_loop',
        ClosingLoop,
    )
    pool = ServerConnectionPool(Kernel(), PlatformHeaderCodec())
    connecting = loop.create_task(pool.connect('10.0.0.1:80'))
    await asyncio.wait((connecting,))
    assert connecting.result().error.kind is ErrorKind.NO_CAPACITY
