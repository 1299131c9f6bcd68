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
        _environment: NodeRoundEnvironment,
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
    """Suspends a node's process and continues it."""

    kind = NodeFaultKind.NODE_FREEZE

    async def inject(
        self,
        _environment: NodeRoundEnvironment,
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
        _environment: NodeRoundEnvironment,
        node: SoakNode,
        fault: NodeFaultRecord,
        _seconds: float,
    ) -> None:
        """Stop it; see `InjectedNodeFault.inject`.

        The probes take it out of rotation, as a load balancer does.
        """
        fault.exit_code = await node.terminate()
        fault.ended = time.time()
        await node.start()
        await node.wait_until_ready()


class NodeReload(InjectedFault):
    """Makes a node reload its settings several times."""

    async def run(
        self, environment: NodeRoundEnvironment, seconds: float
    ) -> None:
        """Send SIGHUP; callers must not be affected."""
        node = environment.pick_node()
        if node is None:
            return
        for _ in range(3):
            node.send_signal(signal.SIGHUP)
            await asyncio.sleep(seconds / 3)
