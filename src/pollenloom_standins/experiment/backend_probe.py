"""Histories of the backend servers."""

from collections import defaultdict

import aiohttp
import msgspec

from pollenloom.core.ids import VmId
from pollenloom.kernel.clock import Clock
from pollenloom_standins.backend.backend_reports import (
    HistoryReport,
    StateReport,
)
from pollenloom_standins.backend.run_history import RunOutcome, RunRecord
from pollenloom_standins.fleet.process_fleet import ProcessFleet


class BackendProbe:
    """Reads what the backend servers ran.

    Attributes:
        earlier: Runs of processes that were ended on purpose.
        cold_overloads: Requests above the cold slots, of all servers.
    """

    def __init__(self, fleet: ProcessFleet) -> None:
        self.fleet = fleet
        self.earlier: defaultdict[VmId, list[RunRecord]] = defaultdict(list)
        self.cold_overloads = 0

    async def keep(self, vm: VmId) -> None:
        """Keep the runs of a server that is about to be killed."""
        runs = await self.runs_of(vm)
        now = Clock().wall()
        for run in runs:
            if not run.ended:
                run.end(RunOutcome.CANCELLED, now)
        self.earlier[vm].extend(runs)

    async def histories(self) -> dict[VmId, list[RunRecord]]:
        """Return the runs of all backend servers."""
        self.cold_overloads = 0
        runs: dict[VmId, list[RunRecord]] = {}
        for vm, process in self.fleet.backends.items():
            runs[vm] = list(self.earlier[vm])
            if process.is_running:
                runs[vm].extend(await self.runs_of(vm))
                state = await self.state_of(vm)
                self.cold_overloads += state.cold_overloads
        return runs

    async def runs_of(self, vm: VmId) -> tuple[RunRecord, ...]:
        """Return the runs of one backend server."""
        content = await fetch(f'{self.fleet.control(vm)}/control/history')
        return msgspec.json.decode(content, type=HistoryReport).runs

    async def state_of(self, vm: VmId) -> StateReport:
        """Return the counts of one backend server."""
        content = await fetch(f'{self.fleet.control(vm)}/control/state')
        return msgspec.json.decode(content, type=StateReport)


async def fetch(url: str) -> bytes:
    """Return the content of a URL."""
    async with (
        aiohttp.ClientSession(raise_for_status=True) as session,
        session.get(url) as answer,
    ):
        return await answer.read()


async def change_faults(base: str, **changes: object) -> None:
    """Set fault switches of a stand-in."""
    async with aiohttp.ClientSession(raise_for_status=True) as session:
        await session.put(f'{base}/control/faults', json=changes)
