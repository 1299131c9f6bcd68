"""Router in a process of its own, with its store."""

import asyncio
import os
import signal
from collections.abc import Generator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

import msgspec

from pollenloom.kernel.kernel import Kernel
from pollenloom_standins.keyed_store.keyed_store_service import (
    KeyedStoreService,
)
from pollenloom_standins.node_soak.soak_node import SoakNode
from pollenloom_standins.serving.http_listener import HttpListener
from pollenloom_standins.serving.listen_address import ListenAddress
from pollenloom_standins.wire.conversation import RouteChoice
from pollenloom_standins.wire.wire_client import API_KEY, HOST_NAME

ZONE: Final = 'dc'
SOUND_SERVICE: Final = 'sound'
SOUND_PATH: Final = '/sound/'
ROUTE_KINDS: Final = (
    (RouteChoice.READ, 'idempotent'),
    (RouteChoice.ORDER, 'non_idempotent'),
    (RouteChoice.STREAM, 'streaming'),
)
TIMEOUT_MS: Final = 3000
SOUND_TIMEOUT_MS: Final = 1000
KILOBYTES_PER_MEGABYTE: Final = 1024
CATALOGUE_SECONDS: Final = 1.5


def route_path(slot: int, choice: RouteChoice) -> str:
    """Return the path prefix of a route to the server of a slot."""
    return f'/{choice.value}-{slot}/'


def make_route(
    path: str, kind: str, service: str, timeout_ms: int
) -> dict[str, Any]:
    """Return a route for a configuration."""
    return {
        'name': path.strip('/'),
        'host': HOST_NAME,
        'path_prefix': path,
        'route_type': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 400,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'public': False,
        'resumable': False,
    }


class RouterProcess:
    """A `pollenloom.node` process and the store that it reads.

    Attributes:
        node: The process; None before the start.
    """

    def __init__(self) -> None:
        self.kernel = Kernel()
        self.store = KeyedStoreService()
        self.node: SoakNode | None = None

    async def start(self, directory: Path, slots: int) -> None:
        """Start the store and the router with the routes of all slots."""
        self.kernel.register(self.store)
        listener = HttpListener(self.kernel, ListenAddress('127.0.0.1', 0))
        self.kernel.register(listener)
        await self.kernel.start()
        routes = [
            make_route(
                route_path(slot, choice), kind, f'service-{slot}', TIMEOUT_MS
            )
            for slot in range(slots)
            for choice, kind in ROUTE_KINDS
        ]
        routes.append(
            make_route(
                SOUND_PATH, 'idempotent', SOUND_SERVICE, SOUND_TIMEOUT_MS
            )
        )
        services = [
            SOUND_SERVICE,
            *(f'service-{slot}' for slot in range(slots)),
        ]
        configuration = {
            'version': 1,
            'routes': routes,
            'services': [
                {'name': name, 'max_connections': 100} for name in services
            ],
            'limits': {'max_body_bytes': 100_000, 'max_header_bytes': 16_384},
            'tenants': [{'name': 'wire', 'api_keys': [API_KEY]}],
        }
        await self.store.write(
            'keyed.op', 'config', msgspec.json.encode(configuration)
        )
        self.node = SoakNode('wire', ZONE, listener.address, directory)
        await self.node.start()

    async def wait_until_ready(self) -> None:
        """Wait until the router knows its configuration and servers."""
        await self.running.wait_until_ready()
        await asyncio.sleep(CATALOGUE_SECONDS)

    async def stop(self) -> None:
        """End the router and the store."""
        if self.node is not None:
            await self.node.kill()
        await self.kernel.stop()

    @property
    def running(self) -> SoakNode:
        """The started process.

        Raises:
            RuntimeError: If it was not started.
        """
        if self.node is None:
            raise RuntimeError('the router was not started')
        return self.node

    @property
    def process_id(self) -> int:
        """Id of the process.

        Raises:
            RuntimeError: If it was not started.
        """
        if self.running.process is None:
            raise RuntimeError('the router was not started')
        return self.running.process.pid

    @contextmanager
    def frozen(self) -> Generator[None, None, None]:
        """Suspend the router."""
        os.kill(self.process_id, signal.SIGSTOP)
        try:
            yield
        finally:
            os.kill(self.process_id, signal.SIGCONT)

    def peak_megabytes(self) -> float:
        """Return the largest resident memory so far."""
        status = Path(f'/proc/{self.process_id}/status')
        lines = status.read_text('utf-8').splitlines()
        peak = next(line for line in lines if line.startswith('VmHWM'))
        return int(peak.split()[1]) / KILOBYTES_PER_MEGABYTE
