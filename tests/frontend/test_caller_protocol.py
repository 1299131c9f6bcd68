"""Caller connections on the event loop of a router."""

import asyncio
import socket

from tests.fakes.caller_router import CallerRouter

CALLERS = 60
REQUEST = b'GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'


def connect_and_send(host: str, port: int) -> socket.socket:
    connection = socket.create_connection((host, port))
    connection.sendall(REQUEST)
    connection.setblocking(False)
    return connection


async def read_all(connection: socket.socket) -> bytes:
    loop = asyncio.get_running_loop()
    response = b''
    async with asyncio.timeout(10):
        while part := await loop.sock_recv(connection, 4096):
            response += part
    connection.close()
    return response


async def test_bytes_that_arrive_with_the_connection(
    router: CallerRouter,
) -> None:
    """Guards against an error when data arrives before Sanic's task starts.

    The requests are in the sockets before the loop accepts any connection.
    """
    host, _, port = router.callers.address.rpartition(':')
    connections = [connect_and_send(host, int(port)) for _ in range(CALLERS)]
    responses = await asyncio.gather(
        *(read_all(connection) for connection in connections),
    )
    assert all(response.startswith(b'HTTP/1.1 200') for response in responses)
