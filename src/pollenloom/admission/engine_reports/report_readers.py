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
# Bounds the age computed from a server whose clock is far behind, so that its
# reports count as late but not as outdated forever.
MAX_REPORT_AGE_SECONDS: Final = 60.0


class ReportReaders:
    """Runs one polling task for each server of an owned pool.

    Attributes:
        source: Service that reads the reports; None if there is none.
        tasks: Polling tasks, some of which may have ended.
    """

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
        """Use the kernel's service that reads reports, if there is one."""
        name = KernelServiceName.ENGINE_REPORTS
        if name not in kernel.services:
            return cls(kernel, None, owners)
        source = kernel.find(name, EngineReports)
        owners.expect_load_reports()
        return cls(kernel, source, owners)

    def refresh(self) -> None:
        """Start polling the servers of pools that this VM now owns."""
        source = self.source
        if source is None:
            return
        owned = {
            (pool, server)
            for pool, allocator in self.owners.allocators.items()
            for server in allocator.servers.servers
        }
        # A task ends by itself when its server leaves the pool. Tasks are
        # not cancelled: cancelling a connection attempt here made routers
        # stop handling all events (uvloop 0.22.1, aiohttp 3.14).
        for key in tuple(self.tasks):
            if self.tasks[key].done():
                self.tasks.pop(key)
        for pool, server in sorted(owned):
            task = self.tasks.get((pool, server))
            if task is None:
                self.tasks[pool, server] = self.kernel.spawn(
                    f'reports of {server}',
                    self.poll(source, pool, server),
                )

    def state(self, pool: PoolId, server: ServerId) -> ServerState | None:
        """Return the state of a server, if this VM owns its pool."""
        allocator = self.owners.allocators.get(pool)
        return allocator.servers.get(server) if allocator else None

    async def poll(
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
        """Whether the pool's allocator uses the servers' prefix caches."""
        allocator = self.owners.allocators.get(pool)
        if allocator is None or not allocator.options.affinity:
            return False
        entry = self.owners.scope.service_file(allocator.service)
        return entry is not None and entry.resource is Resource.MODEL

    async def read_load(
        self, source: EngineReports, pool: PoolId, server: ServerId
    ) -> None:
        """Read and apply one load report of a server."""
        state = self.state(pool, server)
        if state is None:
            return
        # Taken before the request, since the response may take long.
        wall = self.kernel.clock.wall()
        started_at = self.kernel.clock.monotonic()
        result = await source.load(state.server.address)
        if result.is_error():
            state.reports.miss()
            # A server without reports must not stay limited to its cold slots.
            state.ramp.apply_load_report(started_at, cold=None)
            if state.reports.missed == 1:
                logging.warning(
                    'load_report_missed %s %s',
                    server,
                    result.error.detail,
                )
            return
        report = result.ok
        measured_at = started_at - age_of(report, wall)
        self.owners.on_load_report(pool, server, report, measured_at)

    async def read_events(
        self, source: EngineReports, pool: PoolId, server: ServerId
    ) -> None:
        """Read and apply the new cache events of an engine."""
        state = self.state(pool, server)
        if state is None:
            return
        predictor = state.prefix_predictor
        result = await source.cache_events(
            state.server.address,
            predictor.next_sequence,
        )
        if result.is_ok():
            predictor.apply_page(result.ok, self.kernel.clock.monotonic())


def age_of(report: EngineLoadReport, wall: float) -> float:
    """Return the age of a report when it was requested, in seconds.

    Assumes that the clocks of the VMs agree to some tenths of a second.
    """
    if report.as_of is None:
        return 0
    return min(MAX_REPORT_AGE_SECONDS, max(0, wall - report.as_of))
