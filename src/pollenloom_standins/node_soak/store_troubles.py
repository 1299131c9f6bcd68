"""Outages of the store, and changes that it tells."""

import asyncio
import time

from pollenloom_standins.node_soak.node_fault import NodeFault, NodeFaultKind
from pollenloom_standins.node_soak.node_ground import NodeGround
from pollenloom_standins.node_soak.node_history import STORE
from pollenloom_standins.node_soak.site_trouble import NodeTrouble, SiteTrouble
from pollenloom_standins.node_soak.soak_node import SoakNode
from pollenloom_standins.relay.link_rules import LinkRule

# A read that a cut swallowed ends by its time limit.
READ_SECONDS = 3.5


class StoreDown(SiteTrouble):
    """The store refuses all calls."""

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Refuse calls for a while."""
        if STORE in ground.busy:
            ground.note_missed(NodeFaultKind.STORE_DOWN)
            return
        fault = ground.begin(NodeFaultKind.STORE_DOWN, STORE)
        ground.store.is_down = True
        await asyncio.sleep(seconds)
        ground.store.is_down = False
        fault.ended = time.time()
        await asyncio.sleep(1)
        ground.finish(fault)


class StoreForgets(SiteTrouble):
    """The store drops its history; the newest records stay."""

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Drop it several times."""
        for _ in range(3):
            for topic in ground.store.topics.values():
                topic.drop_history()
            await asyncio.sleep(seconds / 3)


class StoreLink(NodeTrouble):
    """Cuts, holds or delays the link between a node and the store."""

    def __init__(self, kind: NodeFaultKind, rule: LinkRule) -> None:
        self.kind = kind
        self.rule = rule

    async def happen(
        self,
        ground: NodeGround,
        node: SoakNode,
        fault: NodeFault,
        seconds: float,
    ) -> None:
        """Change the link for a while; see `NodeTrouble.happen`."""
        ground.set_link(node.vm, self.rule)
        await asyncio.sleep(seconds)
        ground.set_link(node.vm, LinkRule())
        fault.ended = time.time()
        await asyncio.sleep(READ_SECONDS)


class KeyRevoked(SiteTrouble):
    """The configuration changes several times, each time a key."""

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Replace keys."""
        for _ in range(2):
            if not ground.store.is_down:
                await ground.revoke()
            await asyncio.sleep(seconds / 2)
