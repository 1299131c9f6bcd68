"""Connections that reach a router while its event loop is busy."""

import asyncio
import socket

from pollenloom.core.host_port import split_address
from tests.gateway.conftest import RouterEnvironment

CALLERS = 100
LOOP_ITERATIONS = 10


async def test_busy_router_takes_all_waiting_connections(
    environment: RouterEnvironment,
) -> None:
    """Guards against connections that wait unseen by overload detection.

    They must be taken within a few iterations of the event loop, since each
    iteration of a busy loop is long.
    """
    await environment.ready(0)
    gateway = environment.gateway
    address = split_address(gateway.address)
    for _ in range(CALLERS):
        environment.stack.enter_context(socket.create_connection(address))
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)
    assert len(gateway.idle) == CALLERS
