"""Reports of the simulated engines."""

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

ANSWER_SECONDS = 0.002


@dataclass
class FakeEngineReports(EngineReports):
    """Tells the load of the fleet's engines, which all have one address.

    Attributes:
        fleet: Fleet whose engines report.
        leaving: Whether the engines leave.
        polls: Load reports given.
        starts: Numbers from which cache events were asked for.
    """

    fleet: FakeFleet
    leaving: bool = False
    polls: int = 0
    starts: list[int] = field(default_factory=list)

    async def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""

    async def load(self, address: str) -> Result[EngineLoadReport, Failure]:
        await asyncio.sleep(ANSWER_SECONDS)
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
        await asyncio.sleep(ANSWER_SECONDS)
        self.starts.append(start)
        if start:
            return Error(Failure(ErrorKind.BACKEND_FAILED, 'no events'))
        return Ok(CacheEventPage(events=(), next=0))
