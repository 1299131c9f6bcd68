"""The backend servers of a round."""

import asyncio
import time
from collections.abc import Collection
from random import Random
from typing import Final

from pollenloom_standins.keyed_store.keyed_store_service import (
    KeyedStoreService,
)
from pollenloom_standins.node_soak.announcement import Announcement
from pollenloom_standins.node_soak.node_history import NodeHistory
from pollenloom_standins.node_soak.soak_worker import SoakWorker

HEARTBEAT_SECONDS: Final = 0.6
# Faults leave so many servers alone.
FEWEST_FREE: Final = 2


class SoakWorkers:
    """Servers that run and are not leaving, by id."""

    def __init__(self, store: KeyedStoreService, history: NodeHistory) -> None:
        self.store = store
        self.history = history
        self.running: dict[str, SoakWorker] = {}
        self.started: list[SoakWorker] = []

    async def start(self, data_centre: str) -> SoakWorker:
        """Start a server and register it."""
        name = f'i-{len(self.started) + 1}'
        worker = SoakWorker(name, data_centre, self.history)
        await worker.start()
        self.started.append(worker)
        self.running[name] = worker
        await self.write_entry(worker, is_leaving=False)
        return worker

    async def write_entry(
        self,
        worker: SoakWorker,
        *,
        is_leaving: bool,
    ) -> None:
        """Write a server's entry."""
        payload = worker.entry(is_leaving=is_leaving)
        await self.store.write('keyed.servers', worker.server, payload)

    async def retire(self, worker: SoakWorker) -> None:
        """Let a server say that it leaves; it still serves."""
        self.running.pop(worker.server)
        await self.write_entry(worker, is_leaving=True)
        leaving = Announcement(subject=worker.server, at=time.time())
        self.history.leaving.append(leaving)

    async def crash(self, worker: SoakWorker) -> None:
        """Let a server vanish; its entry is removed later."""
        self.running.pop(worker.server)
        await worker.stop()

    async def remove_entry(self, worker: SoakWorker) -> None:
        """Remove the entry of a server that has gone."""
        await self.store.write('keyed.servers', worker.server, b'')

    async def beat(self) -> None:
        """Let all servers write their entries again and again."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.store.is_down:
                continue
            for worker in tuple(self.running.values()):
                await self.write_entry(worker, is_leaving=False)

    async def stop_all(self) -> None:
        """Stop listening everywhere."""
        for worker in self.started:
            await worker.stop()

    def pick(self, busy: Collection[str], draw: Random) -> SoakWorker | None:
        """Return a server that no fault acts on, unless few are left."""
        free = [name for name in self.running if name not in busy]
        if len(free) <= FEWEST_FREE:
            return None
        return self.running[draw.choice(free)]
