"""Environment of a round: nodes, store, backend servers and callers."""

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
BACKENDS: Final = 4
CALLERS: Final = 16
PROBE_INTERVAL_SECONDS: Final = 0.25


class NodeRoundEnvironment:
    """Environment of a round; all but the nodes runs in this process.

    Attributes:
        history: Records of the round.
        random_source: Source of the faults' targets.
        store: Stand-in of the users' store.
        backends: Backend servers.
        nodes: Node processes by VM id.
        store_links: Relays between the nodes and the store by VM id.
        ready_nodes: Ids of the nodes that were ready at the last probe.
        keys: API keys that are configured.
        version: Version of the configuration.
        busy: Nodes, backend servers and store that a fault acts on.
        schedule_problems: Parts of the schedule that could not be carried out.
        callers: Tasks of the callers.
    """

    def __init__(self, history: NodeHistory, directory: Path) -> None:
        self.history = history
        self.directory = directory
        # The word is part of the seed: another one would change every round.
        self.random_source = random.Random(f'ground {history.seed}')
        self.store = KeyedStoreService()
        self.backends = SoakBackends(self.store, history)
        self.kernel = Kernel()
        self.nodes: dict[str, SoakNode] = {}
        self.store_links: dict[str, RelayService] = {}
        self.ready_nodes: set[str] = set()
        self.keys = ['key-1', 'key-2']
        self.version = 0
        self.busy: set[str] = set()
        self.schedule_problems: list[str] = []
        self.callers: list[asyncio.Task[None]] = []
        self.exit_stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start the environment."""
        try:
            await self.open()
        except BaseException:
            await self.exit_stack.aclose()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop all processes and tasks."""
        await self.exit_stack.aclose()

    async def open(self) -> None:
        """Start store, backend servers, nodes and callers."""
        self.kernel.register(self.store)
        listener = HttpListener(self.kernel, ListenAddress('127.0.0.1', 0))
        self.kernel.register(listener)
        await self.kernel.start()
        self.exit_stack.push_async_callback(self.kernel.stop)
        await self.publish_configuration()
        for number in range(BACKENDS):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            await self.backends.start(data_centre)
        self.exit_stack.push_async_callback(self.backends.stop_all)
        self.kernel.spawn('heartbeats', self.backends.write_heartbeats())
        for number in range(self.history.node_count):
            await self.add_node(number, ListenAddress.parse(listener.address))
        await asyncio.gather(
            *(node.wait_until_ready() for node in self.nodes.values()),
        )
        self.kernel.spawn('probes', self.probe_nodes())
        for number in range(CALLERS):
            caller = NodeCaller(self, number)
            self.callers.append(self.kernel.spawn('caller', caller.run()))
        # Callers stop before the nodes, so that they do not record the end of
        # the nodes as failed calls.
        self.exit_stack.push_async_callback(self.stop_callers)

    async def stop_callers(self) -> None:
        """Cancel the callers; their last calls are left without an outcome."""
        for task in self.callers:
            task.cancel()
        await asyncio.wait(self.callers)

    async def add_node(self, number: int, store: ListenAddress) -> None:
        """Start a node that reaches the store through its own relay."""
        vm = f'edge-{number}'
        relay = RelayService(self.kernel, ListenAddress('127.0.0.1', 0), store)
        await relay.start()
        self.exit_stack.push_async_callback(relay.stop)
        self.store_links[vm] = relay
        node = SoakNode(
            vm,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            relay.address,
            self.directory,
        )
        self.nodes[vm] = node
        self.exit_stack.push_async_callback(node.kill)
        await node.start()

    async def publish_configuration(self) -> None:
        """Write a new version of the configuration with the current keys."""
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
        """Replace a random key by a new one and record the revocation."""
        revoked = self.random_source.choice(self.keys)
        self.keys[self.keys.index(revoked)] = f'key-{self.version + 10}'
        await self.publish_configuration()
        announced = Announcement(subject=revoked, at=time.time())
        self.history.revoked.append(announced)

    async def probe_nodes(self) -> None:
        """Poll whether the nodes are ready for new connections."""
        while True:
            for node in self.nodes.values():
                if await node.is_ready():
                    self.ready_nodes.add(node.vm)
                else:
                    self.ready_nodes.discard(node.vm)
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    def nodes_in_rotation(self) -> list[SoakNode]:
        """Return the nodes that get new connections."""
        return [self.nodes[vm] for vm in sorted(self.ready_nodes)]

    def set_link(self, vm: str, rule: LinkRule) -> None:
        """Set the rule of the link between a node and the store."""
        self.store_links[vm].table.put(LinkRules((rule,)))

    def pick_node(self) -> SoakNode | None:
        """Return a random node that no fault acts on, if there is one."""
        free = [vm for vm in self.nodes if vm not in self.busy]
        return self.nodes[self.random_source.choice(free)] if free else None

    def record_skipped_fault(self, kind: NodeFaultKind) -> None:
        """Record that a fault was skipped for want of a free target."""
        self.schedule_problems.append(f'{kind.value}: no free target')

    def begin_fault(self, kind: NodeFaultKind, target: str) -> NodeFaultRecord:
        """Record the start of a fault and mark its target as busy."""
        self.busy.add(target)
        fault = NodeFaultRecord(kind=kind, target=target, started=time.time())
        self.history.faults.append(fault)
        return fault

    def finish_fault(self, fault: NodeFaultRecord) -> None:
        """Record that the target serves again and is free."""
        fault.recovered = time.time()
        fault.ended = fault.ended or fault.recovered
        self.busy.discard(fault.target)


def route(kind: NodeCallKind) -> dict[str, Any]:
    """Return the configured route of a kind of calls."""
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
