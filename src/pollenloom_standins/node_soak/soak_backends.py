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
from pollenloom_standins.node_soak.soak_backend import SoakBackend

HEARTBEAT_INTERVAL_SECONDS: Final = 0.6
# Faults always leave this many servers unaffected.
MIN_UNAFFECTED_BACKENDS: Final = 2


class SoakBackends:
    """Starts and stops the backend servers of a round.

    Attributes:
        running: Servers that run and are not leaving, by id.
        started: All servers that were started.
    """

    def __init__(self, store: KeyedStoreService, history: NodeHistory) -> None:
        self.store = store
        self.history = history
        self.running: dict[str, SoakBackend] = {}
        self.started: list[SoakBackend] = []

    async def start(self, data_centre: str) -> SoakBackend:
        """Start a server and write its entry to the store."""
        name = f'i-{len(self.started) + 1}'
        backend = SoakBackend(name, data_centre, self.history)
        await backend.start()
        self.started.append(backend)
        self.running[name] = backend
        await self.write_entry(backend, is_leaving=False)
        return backend

    async def write_entry(
        self,
        backend: SoakBackend,
        *,
        is_leaving: bool,
    ) -> None:
        """Write a server's entry to the store."""
        payload = backend.entry(is_leaving=is_leaving)
        await self.store.write('keyed.servers', backend.server, payload)

    async def retire(self, backend: SoakBackend) -> None:
        """Announce that a server leaves and record it; it still serves."""
        self.running.pop(backend.server)
        await self.write_entry(backend, is_leaving=True)
        leaving = Announcement(subject=backend.server, at=time.time())
        self.history.leaving.append(leaving)

    async def crash(self, backend: SoakBackend) -> None:
        """Stop a server without a change of its entry."""
        self.running.pop(backend.server)
        await backend.crash()

    async def remove_entry(self, backend: SoakBackend) -> None:
        """Remove a server's entry from the store."""
        await self.store.write('keyed.servers', backend.server, b'')

    async def write_heartbeats(self) -> None:
        """Rewrite the entries of all running servers periodically."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            if self.store.is_down:
                continue
            for backend in tuple(self.running.values()):
                await self.write_entry(backend, is_leaving=False)

    async def stop_all(self) -> None:
        """Stop all servers."""
        for backend in self.started:
            await backend.stop()

    def pick(
        self, busy: Collection[str], random_source: Random
    ) -> SoakBackend | None:
        """Return a random server that no fault acts on.

        None if no more than `MIN_UNAFFECTED_BACKENDS` of them are left.
        """
        free = [name for name in self.running if name not in busy]
        if len(free) <= MIN_UNAFFECTED_BACKENDS:
            return None
        return self.running[random_source.choice(free)]
