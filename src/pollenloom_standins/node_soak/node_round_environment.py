"""The machines of a round with store, servers and callers."""

import asyncio
import random
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Final, Self

import msgspec

from pollenloom.kernel.kernel import Kernel
from pollenloom_standins.keyed_store.keyed_store_service import (
    KeyedStoreService,
)
from pollenloom_standins.node_soak.announcement import Announcement
from pollenloom_standins.node_soak.node_call_kind import NodeCallKind
from pollenloom_standins.node_soak.node_caller import NodeCaller
from pollenloom_standins.node_soak.node_fault_record import (
    NodeFaultKind,
    NodeFaultRecord,
)
from pollenloom_standins.node_soak.node_history import NodeHistory
from pollenloom_standins.node_soak.soak_backends import SoakBackends
from pollenloom_standins.node_soak.soak_node import SoakNode
from pollenloom_standins.relay.link_rules import LinkRule, LinkRules
from pollenloom_standins.relay.relay_service import RelayService
from pollenloom_standins.serving.http_listener import HttpListener
from pollenloom_standins.serving.listen_address import ListenAddress

DATA_CENTRES: Final = ('enschede', 'almelo')
NODES: Final = 4
BACKENDS: Final = 4
CALLERS: Final = 16
PROBE_INTERVAL_SECONDS: Final = 0.25


class NodeRoundEnvironment:
    """A small site in one process, but for the nodes.

    Attributes:
        keys: API keys that are configured.
        busy: What a fault acts on.
        troubles: What did not go as the schedule wanted.
    """

    def __init__(self, history: NodeHistory, directory: Path) -> None:
        self.history = history
        self.directory = directory
        self.random_source = random.Random(f'ground {history.seed}')
        self.store = KeyedStoreService()
        self.backends = SoakBackends(self.store, history)
        self.kernel = Kernel()
        self.nodes: dict[str, SoakNode] = {}
        self.store_links: dict[str, RelayService] = {}
        self.ready: set[str] = set()
        self.keys = ['key-1', 'key-2']
        self.version = 0
        self.busy: set[str] = set()
        self.troubles: list[str] = []
        self.callers: list[asyncio.Task[None]] = []
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start everything."""
        try:
            await self.open()
        except BaseException:
            await self.stack.aclose()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes and tasks."""
        await self.stack.aclose()

    async def open(self) -> None:
        """Start store, servers, nodes and callers."""
        self.kernel.register(self.store)
        listener = HttpListener(self.kernel, ListenAddress('127.0.0.1', 0))
        self.kernel.register(listener)
        await self.kernel.start()
        self.stack.push_async_callback(self.kernel.stop)
        await self.publish_configuration()
        for number in range(BACKENDS):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            await self.backends.start(data_centre)
        self.stack.push_async_callback(self.backends.stop_all)
        self.kernel.spawn('heartbeats', self.backends.write_heartbeats())
        for number in range(NODES):
            await self.add_node(number, ListenAddress.parse(listener.address))
        await asyncio.gather(
            *(node.wait_until_ready() for node in self.nodes.values()),
        )
        self.kernel.spawn('probes', self.probe_nodes())
        for number in range(CALLERS):
            caller = NodeCaller(self, number)
            self.callers.append(self.kernel.spawn('caller', caller.run()))
        # The end of the nodes must not look like a fault to callers.
        self.stack.push_async_callback(self.stop_callers)

    async def stop_callers(self) -> None:
        """Cancel the callers; what they were waiting for stays open."""
        for task in self.callers:
            task.cancel()
        await asyncio.wait(self.callers)

    async def add_node(self, number: int, store: ListenAddress) -> None:
        """Start a node behind a link to the store of its own."""
        vm = f'edge-{number}'
        relay = RelayService(self.kernel, ListenAddress('127.0.0.1', 0), store)
        await relay.start()
        self.stack.push_async_callback(relay.stop)
        self.store_links[vm] = relay
        node = SoakNode(
            vm,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            relay.address,
            self.directory,
        )
        self.nodes[vm] = node
        self.stack.push_async_callback(node.kill)
        await node.start()

    async def publish_configuration(self) -> None:
        """Write the configuration with the keys of the moment."""
        self.version += 1
        payload = msgspec.json.encode(
            {
                'version': self.version,
                'routes': [route(kind) for kind in NodeCallKind],
                'services': [{'name': 'app', 'max_connections': 500}],
                'limits': {'max_body_bytes': 100_000},
                'tenants': [
                    {'name': f'account of {key}', 'api_keys': [key]}
                    for key in self.keys
                ],
            },
        )
        await self.store.write('keyed.op', 'config', payload)

    async def replace_key(self) -> None:
        """Replace a key by a new one."""
        revoked = self.random_source.choice(self.keys)
        self.keys[self.keys.index(revoked)] = f'key-{self.version + 10}'
        await self.publish_configuration()
        announced = Announcement(subject=revoked, at=time.time())
        self.history.revoked.append(announced)

    async def probe_nodes(self) -> None:
        """Ask nodes whether they take new connections."""
        while True:
            for node in self.nodes.values():
                if await node.is_ready():
                    self.ready.add(node.vm)
                else:
                    self.ready.discard(node.vm)
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    def in_rotation(self) -> list[SoakNode]:
        """Nodes that new connections go to."""
        return [self.nodes[vm] for vm in sorted(self.ready)]

    def set_link(self, vm: str, rule: LinkRule) -> None:
        """Change the link between a node and the store."""
        self.store_links[vm].table.put(LinkRules((rule,)))

    def pick_node(self) -> SoakNode | None:
        """Return a node that no fault acts on."""
        free = [vm for vm in self.nodes if vm not in self.busy]
        return self.nodes[self.random_source.choice(free)] if free else None

    def record_skipped_fault(self, kind: NodeFaultKind) -> None:
        """Note a fault that found nothing to act on."""
        self.troubles.append(f'{kind.value}: nothing to act on')

    def begin_fault(self, kind: NodeFaultKind, target: str) -> NodeFaultRecord:
        """Record the start of a fault."""
        self.busy.add(target)
        fault = NodeFaultRecord(kind=kind, target=target, started=time.time())
        self.history.faults.append(fault)
        return fault

    def finish_fault(self, fault: NodeFaultRecord) -> None:
        """Record that its target serves again."""
        fault.recovered = time.time()
        fault.ended = fault.ended or fault.recovered
        self.busy.discard(fault.target)


def route(kind: NodeCallKind) -> dict[str, Any]:
    """Return the route of a kind of calls."""
    route_type = 'idempotent'
    if kind is NodeCallKind.ORDER:
        route_type = 'non_idempotent'
    elif kind.is_stream:
        route_type = 'streaming'
    return {
        'name': kind.name.lower(),
        'host': 'shop.example',
        'path_prefix': kind.value,
        'route_type': route_type,
        'timeout_ms': 3000,
        'target_latency_ms': 800,
        'priority': 1,
        'service': 'app',
        'max_attempts': 2,
        'public': False,
        'resumable': kind is NodeCallKind.RESUME,
    }
