"""Kills, freezes, stops and reloads of nodes."""

import asyncio
import signal
import time

from pollenloom_standins.node_soak.injected_fault import (
    InjectedFault,
    InjectedNodeFault,
)
from pollenloom_standins.node_soak.node_fault_record import (
    NodeFaultKind,
    NodeFaultRecord,
)
from pollenloom_standins.node_soak.node_round_environment import (
    NodeRoundEnvironment,
)
from pollenloom_standins.node_soak.soak_node import SoakNode


class NodeKill(InjectedNodeFault):
    """Kills a node and starts it again."""

    kind = NodeFaultKind.NODE_KILL

    async def inject(
        self,
        _ground: NodeRoundEnvironment,
        node: SoakNode,
        fault: NodeFaultRecord,
        seconds: float,
    ) -> None:
        """Kill it; see `InjectedNodeFault.inject`."""
        await node.kill()
        await asyncio.sleep(seconds)
        fault.ended = time.time()
        await node.start()
        await node.wait_until_ready()


class NodeFreeze(InjectedNodeFault):
    """Stops a node's process and lets it go on."""

    kind = NodeFaultKind.NODE_FREEZE

    async def inject(
        self,
        _ground: NodeRoundEnvironment,
        node: SoakNode,
        fault: NodeFaultRecord,
        seconds: float,
    ) -> None:
        """Freeze it; see `InjectedNodeFault.inject`."""
        node.freeze()
        await asyncio.sleep(seconds)
        node.resume()
        fault.ended = time.time()
        await node.wait_until_ready()


class NodeStop(InjectedNodeFault):
    """Stops a node gracefully and starts it again."""

    kind = NodeFaultKind.NODE_STOP

    async def inject(
        self,
        _ground: NodeRoundEnvironment,
        node: SoakNode,
        fault: NodeFaultRecord,
        _seconds: float,
    ) -> None:
        """Stop it; the probes take it out of rotation."""
        fault.exit_code = await node.terminate()
        fault.ended = time.time()
        await node.start()
        await node.wait_until_ready()


class NodeReload(InjectedFault):
    """Tells a node several times that its settings changed."""

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Send the signal; it must change nothing for callers."""
        node = environment.pick_node()
        if node is None:
            return
        for _ in range(3):
            node.send(signal.SIGHUP)
            await asyncio.sleep(seconds / 3)
