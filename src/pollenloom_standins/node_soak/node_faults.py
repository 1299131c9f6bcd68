"""What happens to a site during a round."""

import asyncio
import signal
import time
from abc import ABC, abstractmethod
from typing import ClassVar, Final

from pollenloom_standins.node_soak.node_ground import NodeGround
from pollenloom_standins.node_soak.soak_worker import WorkerFault
from pollenloom_standins.relay.link_rules import LinkMode, LinkRule

STORE: Final = 'store'


class NodeFaultKind(ABC):
    """One kind of fault, from its start to its end."""

    name: ClassVar[str]

    @abstractmethod
    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Let it happen, wait, and end it."""


class NodeKill(NodeFaultKind):
    """Kills a node and starts it again."""

    name = 'node-kill'

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Kill it."""
        node = ground.free_node()
        if node is None:
            return
        fault = ground.begin(self.name, node.vm)
        await node.kill()
        await asyncio.sleep(seconds)
        fault.ended = time.time()
        await node.start()
        await node.wait_ready()
        ground.finish(fault)


class NodeFreeze(NodeFaultKind):
    """Stops a node's process and lets it go on."""

    name = 'node-freeze'

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Freeze it."""
        node = ground.free_node()
        if node is None:
            return
        fault = ground.begin(self.name, node.vm)
        node.freeze()
        await asyncio.sleep(seconds)
        node.resume()
        fault.ended = time.time()
        await node.wait_ready()
        ground.finish(fault)


class NodeStop(NodeFaultKind):
    """Stops a node gracefully and starts it again."""

    name = 'node-stop'

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Stop it; the probes take it out of rotation."""
        node = ground.free_node()
        if node is None:
            return
        fault = ground.begin(self.name, node.vm)
        fault.exit_code = await node.terminate()
        fault.ended = time.time()
        await node.start()
        await node.wait_ready()
        ground.finish(fault)


class NodeReload(NodeFaultKind):
    """Tells a node several times that its settings changed."""

    name = 'node-reload'

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Send the signal; it must change nothing for callers."""
        node = ground.free_node()
        if node is None:
            return
        for _ in range(3):
            node.send(signal.SIGHUP)
            await asyncio.sleep(seconds / 3)


class StoreDown(NodeFaultKind):
    """The store refuses all calls."""

    name = 'store-down'

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Refuse calls for a while."""
        if STORE in ground.busy:
            return
        fault = ground.begin(self.name, STORE)
        ground.store.is_down = True
        await asyncio.sleep(seconds)
        ground.store.is_down = False
        fault.ended = time.time()
        await asyncio.sleep(1)
        ground.finish(fault)


class StoreForgets(NodeFaultKind):
    """The store drops its history; the newest records stay."""

    name = 'store-forgets'

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Drop it several times."""
        for _ in range(3):
            for topic in ground.store.topics.values():
                topic.drop_history()
            await asyncio.sleep(seconds / 3)


class StoreLink(NodeFaultKind):
    """Cuts, holds or delays the link between a node and the store."""

    def __init__(self, name: str, rule: LinkRule) -> None:
        self.link_name = name
        self.rule = rule

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Change the link for a while."""
        node = ground.free_node()
        if node is None:
            return
        fault = ground.begin(self.link_name, node.vm)
        ground.set_link(node.vm, self.rule)
        await asyncio.sleep(seconds)
        ground.set_link(node.vm, LinkRule())
        fault.ended = time.time()
        # A read that the cut swallowed ends by its time limit.
        await asyncio.sleep(3.5)
        ground.finish(fault)


class WorkerTrouble(NodeFaultKind):
    """A server answers badly for a while."""

    def __init__(self, fault: WorkerFault) -> None:
        self.fault = fault

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Let it answer so."""
        worker = ground.workers.pick(ground.busy, ground.draw)
        if worker is None:
            return
        record = ground.begin(f'worker-{self.fault.value}', worker.server)
        worker.fault = self.fault
        await asyncio.sleep(seconds)
        worker.fault = WorkerFault.NONE
        record.ended = time.time()
        ground.finish(record)


class WorkerLeaves(NodeFaultKind):
    """A server leaves, and another one takes its place."""

    name = 'worker-leaves'

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Let it say so, and go later."""
        worker = ground.workers.pick(ground.busy, ground.draw)
        if worker is None:
            return
        fault = ground.begin(self.name, worker.server)
        await ground.workers.retire(worker)
        await ground.workers.start(worker.data_centre)
        await asyncio.sleep(max(3, seconds))
        await ground.workers.remove_entry(worker)
        await worker.stop()
        fault.ended = time.time()
        ground.finish(fault)


class WorkerCrash(NodeFaultKind):
    """A server vanishes; its entry lapses, and another one starts."""

    name = 'worker-crash'

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Let it vanish."""
        worker = ground.workers.pick(ground.busy, ground.draw)
        if worker is None:
            return
        fault = ground.begin(self.name, worker.server)
        await ground.workers.crash(worker)
        await asyncio.sleep(seconds)
        await ground.workers.remove_entry(worker)
        await ground.workers.start(worker.data_centre)
        fault.ended = time.time()
        ground.finish(fault)


class KeyRevoked(NodeFaultKind):
    """The configuration changes several times, each time a key."""

    name = 'key-revoked'

    async def run(self, ground: NodeGround, seconds: float) -> None:
        """Replace keys."""
        for _ in range(2):
            if not ground.store.is_down:
                await ground.revoke()
            await asyncio.sleep(seconds / 2)


FAULTS: Final[tuple[NodeFaultKind, ...]] = (
    NodeKill(),
    NodeFreeze(),
    NodeStop(),
    NodeReload(),
    StoreDown(),
    StoreForgets(),
    StoreLink(
        'store-cut',
        LinkRule(forward=LinkMode.DROP, backward=LinkMode.DROP),
    ),
    StoreLink('store-cut-one-way', LinkRule(backward=LinkMode.DROP)),
    StoreLink('store-held', LinkRule(forward=LinkMode.HOLD)),
    StoreLink('store-slow', LinkRule(delay_seconds=0.15)),
    WorkerTrouble(WorkerFault.CUT),
    WorkerTrouble(WorkerFault.FAIL),
    WorkerTrouble(WorkerFault.REJECT),
    WorkerTrouble(WorkerFault.EXTRA),
    WorkerTrouble(WorkerFault.SILENT),
    WorkerLeaves(),
    WorkerCrash(),
    KeyRevoked(),
)
