"""Kills, freezes, stops and reloads of nodes."""

import asyncio
import signal
import time

from pollenloom_standins.node_soak.node_fault import NodeFault, NodeFaultKind
from pollenloom_standins.node_soak.node_ground import NodeGround
from pollenloom_standins.node_soak.site_trouble import NodeTrouble, SiteTrouble
from pollenloom_standins.node_soak.soak_node import SoakNode


class NodeKill(NodeTrouble):
    """Kills a node and starts it again."""

    kind = NodeFaultKind.NODE_KILL

    async def happen(
        self,
        _ground: NodeGround,
        node: SoakNode,
        fault: NodeFault,
        seconds: float,
    ) -> None:
        """Kill it; see `NodeTrouble.happen`."""
        await node.kill()
        await asyncio.sleep(seconds)
        fault.ended = time.time()
        await node.start()
        await node.wait_ready()


class NodeFreeze(NodeTrouble):
    """Stops a node's process and lets it go on."""

    kind = NodeFaultKind.NODE_FREEZE

    async def happen(
        self,
        _ground: NodeGround,
        node: SoakNode,
        fault: NodeFault,
        seconds: float,
    ) -> None:
        """Freeze it; see `NodeTrouble.happen`."""
        node.freeze()
        await asyncio.sleep(seconds)
        node.resume()
        fault.ended = time.time()
        await node.wait_ready()


class NodeStop(NodeTrouble):
    """Stops a node gracefully and starts it again."""

    kind = NodeFaultKind.NODE_STOP

    async def happen(
        self,
        _ground: NodeGround,
        node: SoakNode,
        fault: NodeFault,
        _seconds: float,
    ) -> None:
        """Stop it; the probes take it out of rotation."""
        fault.exit_code = await node.terminate()
        fault.ended = time.time()
        await node.start()
        await node.wait_ready()


class NodeReload(SiteTrouble):
    """Tells a node several times that its settings changed."""

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Send the signal; it must change nothing for callers."""
        node = ground.free_node()
        if node is None:
            return
        for _ in range(3):
            node.send(signal.SIGHUP)
            await asyncio.sleep(seconds / 3)
