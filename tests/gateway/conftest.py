"""Fixtures for a router with its store and backend servers."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import pytest

from pollenloom.console.node_process import make_services
from pollenloom.core.host_port import split_address
from pollenloom.gateway.gateway_server import GatewayServer
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom_standins.keyed_store.keyed_store_service import (
    KeyedStoreService,
)
from pollenloom_standins.worker.responses import (
    sealed_response,
    sealed_stream_head,
    server_entry,
)
from pollenloom_standins.worker.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
)
from tests.fakes.router_fixtures import make_settings, open_store

HOST = 'shop.example'
KEY = 'key-of-the-shop'
READY_SECONDS = 10
Script = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


def make_route(kind: str, path: str, **changes: Any) -> dict[str, Any]:
    """Return a route for a configuration."""
    return {
        'name': f'r-{kind}',
        'host': HOST,
        'path_prefix': path,
        'route_type': kind,
        'timeout_ms': 1500,
        'target_latency_ms': 400,
        'priority': 1,
        'service': 'app',
        'max_attempts': 2,
        'public': False,
        'resumable': False,
        **changes,
    }


def make_configuration(version: int = 1) -> dict[str, Any]:
    """Return a configuration with a route of each kind."""
    return {
        'version': version,
        'routes': [
            make_route('idempotent', '/read/'),
            make_route('non_idempotent', '/order/'),
            make_route('streaming', '/stream/'),
            make_route('streaming', '/resume/', resumable=True, name='r-res'),
        ],
        'services': [{'name': 'app', 'max_connections': 100}],
        'limits': {'max_body_bytes': 100_000, 'max_header_bytes': 16_384},
        'tenants': [{'name': 'shop', 'api_keys': [KEY]}],
    }


@dataclass(slots=True)
class CallerResponse:
    """Response that a caller received.

    Attributes:
        is_complete: Whether the response ended as its framing requires.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


@dataclass(slots=True)
class RouterEnvironment:
    """A running router with its store and backend servers.

    Attributes:
        store_address: Address of the store, `host:port`.
    """

    kernel: Kernel
    store: KeyedStoreService
    store_address: str
    stack: AsyncExitStack
    servers: list[ScriptedBackend] = field(default_factory=list)

    @property
    def gateway(self) -> GatewayServer:
        """The server for callers."""
        return self.kernel.find(KernelServiceName.GATEWAY, GatewayServer)

    async def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration to the store."""
        payload = msgspec.json.encode(configuration)
        await self.store.write('keyed.op', 'config', payload)

    async def add_server(self, script: Script, **entry: Any) -> ScriptedBackend:
        """Start a backend server and register it."""
        server = ScriptedBackend(script)
        await server.start()
        self.stack.push_async_callback(server.stop)
        self.servers.append(server)
        await self.register(server, **entry)
        return server

    async def register(self, server: ScriptedBackend, **entry: Any) -> None:
        """Write the entry of a backend server to the store."""
        server_id = f'i-{self.servers.index(server)}'
        payload = server_entry(server.address, **entry)
        await self.store.write('keyed.servers', server_id, payload)

    async def wait_for(self, is_reached: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(READY_SECONDS):
            while not is_reached():
                await asyncio.sleep(0.01)

    async def ready(self, server_count: int) -> None:
        """Wait until the router is ready and knows enough servers."""
        catalogue = self.gateway.catalogue
        await self.wait_for(
            lambda: (
                self.gateway.is_ready
                and len(catalogue.directory.servers) >= server_count
            ),
        )

    async def connect(self) -> 'CallerConnection':
        """Open a connection as a caller."""
        address = split_address(self.gateway.address)
        reader, writer = await asyncio.open_connection(*address)
        self.stack.callback(writer.close)
        return CallerConnection(reader, writer)


@dataclass(slots=True)
class CallerConnection:
    """Client side of a connection to the router."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(
        self,
        target: str,
        request_id: str = 'a1',
        body: bytes = b'',
        method: str = 'POST',
        **headers: str,
    ) -> None:
        """Write a request."""
        lines = [
            f'{method} {target} HTTP/1.1',
            f'Host: {HOST}:8080',
            f'X-Pollenloom-Attempt-Id: {request_id}',
            f'Content-Length: {len(body)}',
        ]
        named = {'api-key': KEY, **headers}
        lines.extend(
            f'{name.replace("_", "-")}: {text}' for name, text in named.items()
        )
        head = '\r\n'.join((*lines, '', ''))
        self.writer.write(head.encode() + body)
        await self.writer.drain()

    async def fetch(self, target: str, **request: Any) -> CallerResponse:
        """Write a request and read its response."""
        await self.send(target, **request)
        return await self.read()

    async def read(self) -> CallerResponse:
        """Read one response."""
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        start_line, *lines = head.rstrip().split('\r\n')
        split = [line.partition(':') for line in lines]
        headers = {name.lower(): text.strip() for name, _, text in split}
        status = int(start_line.split()[1])
        if headers.get('transfer-encoding') == 'chunked':
            body, is_complete = await self.read_chunks()
        else:
            length = int(headers['content-length'])
            body = await self.reader.readexactly(length)
            is_complete = True
        return CallerResponse(status, headers, body, is_complete)

    async def read_chunks(self) -> tuple[bytes, bool]:
        """Read a chunked body; return it and whether it is complete."""
        body = b''
        try:
            while True:
                size = int(await self.reader.readline() or b'x', 16)
                chunk = await self.reader.readexactly(size + 2)
                body += chunk[:-2]
                if not size:
                    return body, True
        except (ValueError, asyncio.IncompleteReadError, ConnectionError):
            return body, False


async def start_router(
    stack: AsyncExitStack, path: Path, store_address: str
) -> Kernel:
    """Start a router that stops when the stack is closed."""
    settings = make_settings('edge-1', store_address=store_address)
    path.write_text('', encoding='utf-8')
    kernel = Kernel()
    for service in make_services(kernel, path, settings):
        kernel.register(service)
    await kernel.start()
    stack.push_async_callback(kernel.stop)
    return kernel


@pytest.fixture
async def environment(tmp_path: Path) -> AsyncIterator[RouterEnvironment]:
    """A router with a configuration and no backend servers."""
    async with AsyncExitStack() as stack:
        store, address = await open_store(stack)
        kernel = await start_router(stack, tmp_path / 'node.toml', address)
        running = RouterEnvironment(kernel, store, address, stack)
        await running.configure(make_configuration())
        yield running


def complete_response(request: ReceivedRequest, body: bytes = b'done') -> bytes:
    """Return a complete sealed response to a request."""
    return sealed_response(request.headers['x-pollenloom-attempt-id'], body)


def stream_head(request: ReceivedRequest) -> bytes:
    """Return the head of a sealed stream with a chunked body."""
    return sealed_stream_head(request.headers['x-pollenloom-attempt-id'])


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b'id: %d\ndata: word-%d\n\n' % (number, number)
