"""Reads run histories from the stand-ins for backend servers."""

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
    """Collects the runs of all backend servers of a fleet.

    Attributes:
        fleet: Fleet with the backend servers.
        ended_process_runs: Runs of server processes that the experiment
            killed.
        cold_overloads: Requests above the cold slots of all running servers,
            as of the last call of `histories`.
    """

    def __init__(self, fleet: ProcessFleet) -> None:
        self.fleet = fleet
        self.ended_process_runs: defaultdict[VmId, list[RunRecord]] = (
            defaultdict(list)
        )
        self.cold_overloads = 0

    async def save_runs(self, vm: VmId) -> None:
        """Save the runs of a server that is about to be killed.

        Runs in progress are saved as cancelled now.
        """
        runs = await self.runs_of(vm)
        now = Clock().wall()
        for run in runs:
            if not run.ended:
                run.end(RunOutcome.CANCELLED, now)
        self.ended_process_runs[vm].extend(runs)

    async def histories(self) -> dict[VmId, list[RunRecord]]:
        """Return the runs of all backend servers, with those saved earlier."""
        self.cold_overloads = 0
        runs: dict[VmId, list[RunRecord]] = {}
        for vm, process in self.fleet.backends.items():
            runs[vm] = list(self.ended_process_runs[vm])
            if process.is_running:
                runs[vm].extend(await self.runs_of(vm))
                state = await self.state_of(vm)
                self.cold_overloads += state.cold_overloads
        return runs

    async def runs_of(self, vm: VmId) -> tuple[RunRecord, ...]:
        """Return the runs of one running backend server."""
        content = await fetch(f'{self.fleet.control_url(vm)}/control/history')
        return msgspec.json.decode(content, type=HistoryReport).runs

    async def state_of(self, vm: VmId) -> StateReport:
        """Return the load and the counters of one running backend server."""
        content = await fetch(f'{self.fleet.control_url(vm)}/control/state')
        return msgspec.json.decode(content, type=StateReport)


async def fetch(url: str) -> bytes:
    """Return the body of a response; raises an error for status 400 and up."""
    async with (
        aiohttp.ClientSession(raise_for_status=True) as session,
        session.get(url) as response,
    ):
        return await response.read()


async def change_faults(base: str, **changes: object) -> None:
    """Change the injected faults of the stand-in at a base URL."""
    async with aiohttp.ClientSession(raise_for_status=True) as session:
        await session.put(f'{base}/control/faults', json=changes)
