"""Faults of the store and its links, and changes of its content."""

import asyncio
import time

from pollenloom_standins.node_soak.injected_fault import (
    InjectedFault,
    InjectedNodeFault,
)
from pollenloom_standins.node_soak.node_fault_record import (
    NodeFaultKind,
    NodeFaultRecord,
)
from pollenloom_standins.node_soak.node_history import STORE
from pollenloom_standins.node_soak.node_round_environment import (
    NodeRoundEnvironment,
)
from pollenloom_standins.node_soak.soak_node import SoakNode
from pollenloom_standins.relay.link_rules import LinkRule

# Time for which the store is away, and until lost records are written again.
RESTORE_SECONDS = 0.5
# Topics that operators and servers write to.
OTHERS_TOPICS = ('keyed.op', 'keyed.servers')
# A read whose response was lost in a cut ends by its timeout within this time.
READ_TIMEOUT_SECONDS = 3.5


class StoreDown(InjectedFault):
    """Makes the store refuse all calls."""

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Refuse calls; see `InjectedFault.run`."""
        if STORE in environment.busy:
            environment.record_skipped_fault(NodeFaultKind.STORE_DOWN)
            return
        fault = environment.begin_fault(NodeFaultKind.STORE_DOWN, STORE)
        environment.store.is_down = True
        await asyncio.sleep(seconds)
        environment.store.is_down = False
        fault.ended = time.time()
        await asyncio.sleep(1)
        environment.finish_fault(fault)


class StoreRestore(InjectedFault):
    """Makes the store come back from an older copy of itself."""

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Lose what was written for some seconds; see `InjectedFault.run`.

        Operators and servers write again what they wrote meanwhile.
        """
        if STORE in environment.busy:
            environment.record_skipped_fault(NodeFaultKind.STORE_RESTORED)
            return
        fault = environment.begin_fault(NodeFaultKind.STORE_RESTORED, STORE)
        store = environment.store
        copy = store.copy()
        await asyncio.sleep(seconds)
        fault.started = time.time()
        store.is_down = True
        await asyncio.sleep(RESTORE_SECONDS)
        lost = {
            name: store.topics[name].since(copy[name].end)
            for name in OTHERS_TOPICS
        }
        await store.restore(copy)
        store.is_down = False
        await asyncio.sleep(RESTORE_SECONDS)
        for name, records in lost.items():
            for record in records:
                await store.write(name, record.key, record.payload)
        fault.ended = time.time()
        await asyncio.sleep(1)
        environment.finish_fault(fault)


class StoreHistoryLoss(InjectedFault):
    """Makes the store drop its history; the newest records stay."""

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Drop the history several times; see `InjectedFault.run`."""
        for _ in range(3):
            for topic in environment.store.topics.values():
                topic.drop_history()
            await asyncio.sleep(seconds / 3)


class StoreLinkFault(InjectedNodeFault):
    """Cuts, holds or delays the link between a node and the store."""

    def __init__(self, kind: NodeFaultKind, rule: LinkRule) -> None:
        self.kind = kind
        self.rule = rule

    async def inject(
        self,
        environment: NodeRoundEnvironment,
        node: SoakNode,
        fault: NodeFaultRecord,
        seconds: float,
    ) -> None:
        """Set the rule of the link; see `InjectedNodeFault.inject`."""
        environment.set_link(node.vm, self.rule)
        await asyncio.sleep(seconds)
        environment.set_link(node.vm, LinkRule())
        fault.ended = time.time()
        await asyncio.sleep(READ_TIMEOUT_SECONDS)


class KeyRevocation(InjectedFault):
    """Publishes several configurations, each with one API key replaced."""

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Replace keys while the store is up; see `InjectedFault.run`."""
        for _ in range(2):
            if not environment.store.is_down:
                await environment.replace_key()
            await asyncio.sleep(seconds / 2)
