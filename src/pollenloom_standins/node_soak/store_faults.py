"""Outages of the store, and changes that it tells."""

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

# A read that a cut swallowed ends by its time limit.
READ_TIMEOUT_SECONDS = 3.5


class StoreDown(InjectedFault):
    """The store refuses all calls."""

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Refuse calls for a while."""
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


class StoreHistoryLoss(InjectedFault):
    """The store drops its history; the newest records stay."""

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Drop it several times."""
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
        """Change the link for a while; see `InjectedNodeFault.inject`."""
        environment.set_link(node.vm, self.rule)
        await asyncio.sleep(seconds)
        environment.set_link(node.vm, LinkRule())
        fault.ended = time.time()
        await asyncio.sleep(READ_TIMEOUT_SECONDS)


class KeyRevocation(InjectedFault):
    """The configuration changes several times, each time a key."""

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Replace keys."""
        for _ in range(2):
            if not environment.store.is_down:
                await environment.replace_key()
            await asyncio.sleep(seconds / 2)
