"""Load reports and cache events of the simulated engines."""

import asyncio
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from pollenloom.admission.engine_reports.cache_event import CacheEventPage
from pollenloom.admission.engine_reports.engine_load_report import (
    EngineLoadReport,
)
from pollenloom.admission.engine_reports.engine_reports import EngineReports
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from tests.admission.fake_fleet import FakeFleet

RESPONSE_SECONDS = 0.002


@dataclass
class FakeEngineReports(EngineReports):
    """Reports the load of the fleet's engines, which share one address.

    Attributes:
        fleet: Fleet whose engines report.
        leaving: Whether the engines report that they are leaving.
        polls: Number of load reports returned.
        starts: Numbers from which cache events were requested.
    """

    fleet: FakeFleet
    leaving: bool = False
    polls: int = 0
    starts: list[int] = field(default_factory=list)

    async def start(self) -> None:
        """Do nothing; the fake has no task."""

    async def stop(self) -> None:
        """Do nothing; the fake has no task."""

    async def load(self, address: str) -> Result[EngineLoadReport, Failure]:
        await asyncio.sleep(RESPONSE_SECONDS)
        self.polls += 1
        running = sum(
            engine.in_flight for engine in self.fleet.engines.values()
        )
        return Ok(EngineLoadReport(running=running, leaving=self.leaving))

    async def cache_events(
        self,
        address: str,
        start: int,
    ) -> Result[CacheEventPage, Failure]:
        await asyncio.sleep(RESPONSE_SECONDS)
        self.starts.append(start)
        if start:
            return Error(Failure(ErrorKind.BACKEND_FAILED, 'no events'))
        return Ok(CacheEventPage(events=(), next=0))
