"""Base classes of what happens to a site during a round."""

from abc import ABC, abstractmethod

from pollenloom_standins.node_soak.node_fault import NodeFault, NodeFaultKind
from pollenloom_standins.node_soak.node_ground import NodeGround
from pollenloom_standins.node_soak.soak_node import SoakNode
from pollenloom_standins.node_soak.soak_worker import SoakWorker


class SiteTrouble(ABC):
    """Something that happens to a site and ends again."""

    @abstractmethod
    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Let it happen, wait, and end it."""


class NodeTrouble(SiteTrouble):
    """Happens to a node that no other fault acts on."""

    kind: NodeFaultKind

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Let it happen to a node, if one is free."""
        node = ground.free_node()
        if node is None:
            ground.note_missed(self.kind)
            return
        fault = ground.begin(self.kind, node.vm)
        await self.happen(ground, node, fault, seconds)
        ground.finish(fault)

    @abstractmethod
    async def happen(
        self,
        ground: NodeGround,
        node: SoakNode,
        fault: NodeFault,
        seconds: float,
    ) -> None:
        """Let it happen and note its end; return when the node serves."""


class WorkerTrouble(SiteTrouble):
    """Happens to a server that no other fault acts on."""

    kind: NodeFaultKind

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Let it happen to a server, if one is free."""
        worker = ground.workers.pick(ground.busy, ground.draw)
        if worker is None:
            ground.note_missed(self.kind)
            return
        fault = ground.begin(self.kind, worker.server)
        await self.happen(ground, worker, seconds)
        ground.finish(fault)

    @abstractmethod
    async def happen(
        self,
        ground: NodeGround,
        worker: SoakWorker,
        seconds: float,
    ) -> None:
        """Let it happen and end."""
