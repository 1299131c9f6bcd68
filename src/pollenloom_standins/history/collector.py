"""Collects the reports of stand-ins and routers."""

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING, Final, TypeVar

import aiohttp
import msgspec

from pollenloom.console.operator_client import OperatorClient
from pollenloom.core.ids import VmId
from pollenloom.core.states import Resource
from pollenloom_standins.application.order_list import OrderReport
from pollenloom_standins.backend.backend_reports import (
    HistoryReport,
    StateReport,
)
from pollenloom_standins.backend.refusals import RefusalReason
from pollenloom_standins.fleet.process_fleet import OPERATOR_TOKEN
from pollenloom_standins.history.samples import (
    OrderRun,
    RevisionSample,
    ServerRun,
    ServerSample,
)

if TYPE_CHECKING:
    from pollenloom_standins.fleet.fleet_plan import BackendPlan
    from pollenloom_standins.fleet.process_fleet import ProcessFleet
    from pollenloom_standins.history.history import History

ReportT = TypeVar('ReportT', bound=msgspec.Struct)

SERVER_POLL_SECONDS: Final = 0.25
REVISION_POLL_SECONDS: Final = 0.5
UNREACHABLE_ERRORS: Final = (aiohttp.ClientError, TimeoutError, ConnectionError)


class Collector:
    """Samples counts and revisions and fetches the stand-ins' histories.

    Attributes:
        starts: Number of starts of each VM in the round.
        ready_at: Wall time at which the latest start was ready.
    """

    def __init__(self, fleet: 'ProcessFleet', history: 'History') -> None:
        self.fleet = fleet
        self.history = history
        self.starts: Counter[VmId] = Counter()
        self.ready_at: dict[VmId, float] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def record_start(self, vm: VmId) -> None:
        """Record that a VM has started."""
        self.starts[vm] += 1
        self.ready_at[vm] = time.time()

    def start(self) -> None:
        """Start sampling all VMs."""
        plan = self.fleet.plan
        for backend in plan.backends:
            self.record_start(backend.vm)
            self.tasks.append(asyncio.create_task(self.poll_server(backend)))
        for router in plan.routers:
            self.record_start(router.vm)
            self.tasks.append(asyncio.create_task(self.poll_router(router.vm)))

    async def stop(self) -> None:
        """Stop sampling and fetch all histories."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for backend in self.fleet.plan.backends:
            await self.fetch(backend)

    async def poll_server(self, plan: 'BackendPlan') -> None:
        """Sample the counts of a backend server periodically."""
        while True:
            start = self.starts[plan.vm]
            try:
                report = await self.get(plan.vm, 'state', StateReport)
            except UNREACHABLE_ERRORS:
                report = None
            if report is not None and start == self.starts[plan.vm]:
                self.add_sample(plan, start, report)
            await asyncio.sleep(SERVER_POLL_SECONDS)

    def add_sample(
        self,
        plan: 'BackendPlan',
        start: int,
        report: StateReport,
    ) -> None:
        """Record a sample of a backend server."""
        self.history.servers.append(
            ServerSample(
                server=plan.vm,
                start=start,
                at=time.time(),
                cold_slots=plan.cold_slots,
                cold_overloads=report.cold_overloads,
                peak_running_cold=report.peak_running_cold,
                refused_leaving=report.refusals.get(RefusalReason.LEAVING, 0),
            ),
        )

    async def poll_router(self, vm: VmId) -> None:
        """Sample the revision of a router periodically."""
        while True:
            await self.sample_router(vm)
            await asyncio.sleep(REVISION_POLL_SECONDS)

    async def sample_router(self, vm: VmId) -> None:
        """Record the revision that a router has in force, if it responds."""
        process = self.fleet.routers[vm]
        if not process.is_running or not process.ready:
            return
        start = self.starts[vm]
        asked_at = time.time()
        address = process.ready['ready']['operators']
        client = OperatorClient((address,), OPERATOR_TOKEN)
        status = await client.status()
        if status.is_error() or start != self.starts[vm]:
            return
        self.history.revisions.append(
            RevisionSample(
                vm=vm,
                start=start,
                running_since=self.ready_at[vm],
                asked_at=asked_at,
                revision=status.ok.configuration.revision,
            ),
        )

    async def fetch(self, plan: 'BackendPlan') -> None:
        """Fetch the runs and orders of a server, which must be reachable."""
        report = await self.get(plan.vm, 'history', HistoryReport)
        self.history.runs.extend(
            ServerRun(
                server=plan.vm,
                service=plan.service,
                data_centre=plan.data_centre,
                run=run,
            )
            for run in report.runs
        )
        if plan.resource is Resource.APPLICATION:
            orders = await self.get(plan.vm, 'orders', OrderReport)
            self.history.orders.extend(
                OrderRun(server=plan.vm, order=order) for order in orders.orders
            )

    async def get(
        self,
        vm: VmId,
        name: str,
        report_type: type[ReportT],
    ) -> ReportT:
        """Return a report of a backend server's stand-in."""
        url = f'{self.fleet.control_url(vm)}/control/{name}'
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            return msgspec.json.decode(await response.read(), type=report_type)
