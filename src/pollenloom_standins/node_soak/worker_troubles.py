"""Faults of backend servers."""

import asyncio

from pollenloom_standins.node_soak.node_fault import NodeFaultKind
from pollenloom_standins.node_soak.node_ground import NodeGround
from pollenloom_standins.node_soak.site_trouble import WorkerTrouble
from pollenloom_standins.node_soak.soak_worker import SoakWorker, WorkerFault

# A leaving server serves at least so long after it has said so.
LEAVE_SECONDS = 3.0


class WorkerAnswers(WorkerTrouble):
    """A server answers badly for a while."""

    def __init__(self, kind: NodeFaultKind, fault: WorkerFault) -> None:
        self.kind = kind
        self.fault = fault

    async def happen(
        self,
        _ground: NodeGround,
        worker: SoakWorker,
        seconds: float,
    ) -> None:
        """Let it answer so."""
        worker.fault = self.fault
        await asyncio.sleep(seconds)
        worker.fault = WorkerFault.NONE


class WorkerLeaves(WorkerTrouble):
    """A server leaves, and another one takes its place."""

    kind = NodeFaultKind.WORKER_LEAVES

    async def happen(
        self,
        ground: NodeGround,
        worker: SoakWorker,
        seconds: float,
    ) -> None:
        """Let it say so, and go later."""
        await ground.workers.retire(worker)
        await ground.workers.start(worker.data_centre)
        await asyncio.sleep(max(LEAVE_SECONDS, seconds))
        await ground.workers.remove_entry(worker)
        await worker.stop()


class WorkerCrash(WorkerTrouble):
    """A server vanishes; its entry lapses, and another one starts."""

    kind = NodeFaultKind.WORKER_CRASH

    async def happen(
        self,
        ground: NodeGround,
        worker: SoakWorker,
        seconds: float,
    ) -> None:
        """Let it vanish."""
        await ground.workers.crash(worker)
        await asyncio.sleep(seconds)
        await ground.workers.remove_entry(worker)
        await ground.workers.start(worker.data_centre)
