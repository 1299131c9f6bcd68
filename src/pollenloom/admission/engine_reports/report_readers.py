"""Tasks that poll the servers of the pools that this VM owns."""

import asyncio
from typing import Final, Self

from absl import logging

from pollenloom.admission.engine_reports.engine_load_report import (
    EngineLoadReport,
)
from pollenloom.admission.engine_reports.engine_reports import EngineReports
from pollenloom.admission.pool_owners import PoolOwners
from pollenloom.admission.server_state import ServerState
from pollenloom.core.ids import PoolId, ServerId
from pollenloom.core.states import Resource
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName

POLL_SECONDS: Final = 1.0
# A server's clock may be wrong by much; the report is then late, not stale
# for ever.
MOST_AGE_SECONDS: Final = 60.0


class ReportReaders:
    """One task for each server of an owned pool."""

    def __init__(
        self,
        kernel: Kernel,
        source: EngineReports | None,
        owners: PoolOwners,
    ) -> None:
        self.kernel = kernel
        self.source = source
        self.owners = owners
        self.tasks: dict[tuple[PoolId, ServerId], asyncio.Task[None]] = {}

    @classmethod
    def from_kernel(cls, kernel: Kernel, owners: PoolOwners) -> Self:
        """Use the service that reads reports, if there is one."""
        name = KernelServiceName.ENGINE_REPORTS
        if name not in kernel.services:
            return cls(kernel, None, owners)
        source = kernel.find(name, EngineReports)
        owners.expect_load_reports()
        return cls(kernel, source, owners)

    def refresh(self) -> None:
        """Follow the owned pools and their servers."""
        source = self.source
        if source is None:
            return
        owned = {
            (pool, server)
            for pool, allocator in self.owners.allocators.items()
            for server in allocator.servers.servers
        }
        # A task ends by itself when its server leaves the pool. It is not
        # cancelled: routers whose connection attempts were cancelled here
        # stopped handling any event (uvloop 0.22.1, aiohttp 3.14).
        for key in tuple(self.tasks):
            if self.tasks[key].done():
                self.tasks.pop(key)
        for pool, server in sorted(owned):
            task = self.tasks.get((pool, server))
            if task is None:
                self.tasks[pool, server] = self.kernel.spawn(
                    f'reports of {server}',
                    self.follow(source, pool, server),
                )

    def state(self, pool: PoolId, server: ServerId) -> ServerState | None:
        """Return the state of a server, if this VM owns its pool."""
        allocator = self.owners.allocators.get(pool)
        return allocator.servers.get(server) if allocator else None

    async def follow(
        self, source: EngineReports, pool: PoolId, server: ServerId
    ) -> None:
        """Poll one server while this VM owns its pool."""
        while self.state(pool, server) is not None:
            started_at = self.kernel.clock.monotonic()
            await self.read_load(source, pool, server)
            if self.reads_events(pool):
                await self.read_events(source, pool, server)
            spent = self.kernel.clock.monotonic() - started_at
            await asyncio.sleep(max(0, POLL_SECONDS - spent))

    def reads_events(self, pool: PoolId) -> bool:
        """Whether the servers of a pool have a prefix cache that matters."""
        allocator = self.owners.allocators.get(pool)
        if allocator is None or not allocator.options.affinity:
            return False
        entry = self.owners.scope.service_file(allocator.service)
        return entry is not None and entry.resource is Resource.MODEL

    async def read_load(
        self, source: EngineReports, pool: PoolId, server: ServerId
    ) -> None:
        """Read one load report."""
        state = self.state(pool, server)
        if state is None:
            return
        # Measured at the start, since the answer may take long.
        wall = self.kernel.clock.wall()
        started_at = self.kernel.clock.monotonic()
        answer = await source.load(state.server.address)
        if answer.is_error():
            state.reports.miss()
            # A server without reports must not stay at its cold slots.
            state.ramp.report_load(started_at, cold=None)
            if state.reports.missed == 1:
                logging.warning(
                    'load_report_missed %s %s',
                    server,
                    answer.error.detail,
                )
            return
        report = answer.ok
        at = started_at - age_of(report, wall)
        self.owners.on_load_report(pool, server, report, at)

    async def read_events(
        self, source: EngineReports, pool: PoolId, server: ServerId
    ) -> None:
        """Read cache events that are new."""
        state = self.state(pool, server)
        if state is None:
            return
        predictions = state.predictions
        answer = await source.cache_events(
            state.server.address,
            predictions.next_sequence,
        )
        if answer.is_ok():
            predictions.read(answer.ok, self.kernel.clock.monotonic())


def age_of(report: EngineLoadReport, wall: float) -> float:
    """Age of a report when it was asked for, in seconds.

    The clocks of the VMs are taken to agree to some tenths of a second.
    """
    if report.as_of is None:
        return 0
    return min(MOST_AGE_SECONDS, max(0, wall - report.as_of))
