"""Runs each case on a fleet of separate processes."""

import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

import aiohttp
import msgspec

from pollenloom.core.ids import DataCentreId, ServiceId, VmId
from pollenloom.core.states import Resource
from pollenloom_standins.affinity.affinity_case import AffinityCase
from pollenloom_standins.affinity.affinity_load import AffinityLoad
from pollenloom_standins.backend.backend_reports import HistoryReport
from pollenloom_standins.capacity.process_time import processor_seconds
from pollenloom_standins.capacity.service_files import (
    service_text,
    write_service,
)
from pollenloom_standins.fleet.fleet_plan import (
    BackendPlan,
    FleetPlan,
    RouterPlan,
)
from pollenloom_standins.fleet.process_fleet import ProcessFleet

ENGINES: Final = 5
ROUTERS: Final = 2
ACCOUNTS: Final = 4
SERVICE: Final = ServiceId('answers')
PLACE: Final = DataCentreId('enschede')
RATE: Final = 45.0
SECONDS: Final = 30.0
WARM_UP_SECONDS: Final = 8.0
# All prefixes take 600 blocks, a fifth of them 120.
ENGINE_OPTIONS: Final = (
    '--token-ms',
    '2',
    '--prefill-token-ms',
    '0.5',
    '--cache-blocks',
    '200',
)


class AffinityResult(msgspec.Struct, frozen=True, kw_only=True):
    """What one run gave.

    Attributes:
        label: Name of the case.
        requests: Requests that count.
        failures: Requests without a whole answer.
        cached_share: Prompt tokens found in caches, of all prompt tokens.
        median_ms: Median time to the first token.
        slow_ms: Time to the first token that 95 in 100 requests stay below.
        router_percent: Processor time of all routers, percent of a core.
    """

    label: str
    requests: int
    failures: int
    cached_share: float
    median_ms: float
    slow_ms: float
    router_percent: float


async def measure(case: AffinityCase) -> AffinityResult:
    """Run one case."""
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        text = service_text(SERVICE, Resource.MODEL, ACCOUNTS, (PLACE,))
        write_service(directory, SERVICE, text)
        async with ProcessFleet(make_plan(case, directory), directory) as fleet:
            return await load_fleet(case, fleet)


def make_plan(case: AffinityCase, directory: Path) -> FleetPlan:
    """Return routers and engines in one data centre."""
    return FleetPlan(
        routers=tuple(
            RouterPlan(
                vm=VmId(f'router-{number}'),
                data_centre=PLACE,
                host='127.0.0.1',
                sections=case.sections,
            )
            for number in range(ROUTERS)
        ),
        backends=tuple(
            BackendPlan(
                vm=VmId(f'engine-{number}'),
                service=SERVICE,
                resource=Resource.MODEL,
                data_centre=PLACE,
                options=ENGINE_OPTIONS + case.engine_options,
            )
            for number in range(ENGINES)
        ),
        directories=(directory,),
    )


async def load_fleet(case: AffinityCase, fleet: ProcessFleet) -> AffinityResult:
    """Send the load and collect what engines and callers saw."""
    urls = tuple(fleet.callers(vm) for vm in fleet.routers)
    load = AffinityLoad(urls, ACCOUNTS)
    counted_from = time.time() + WARM_UP_SECONDS
    before = router_seconds(fleet)
    await load.run(RATE, SECONDS, WARM_UP_SECONDS)
    spent = router_seconds(fleet) - before
    times = sorted(load.first_token_seconds)
    return AffinityResult(
        label=case.label,
        requests=len(times),
        failures=load.failures,
        cached_share=await cached_share(fleet, counted_from),
        median_ms=1000 * statistics.median(times),
        slow_ms=1000 * times[len(times) * 95 // 100],
        router_percent=100 * spent / SECONDS,
    )


def router_seconds(fleet: ProcessFleet) -> float:
    """Return the processor time that the routers have used."""
    return sum(
        processor_seconds(process.pid) for process in fleet.routers.values()
    )


async def cached_share(fleet: ProcessFleet, counted_from: float) -> float:
    """Return the share of prompt tokens that engines found in their caches."""
    prompt = 0
    uncached: float = 0
    async with aiohttp.ClientSession() as session:
        for vm in fleet.backends:
            answer = await session.get(f'{fleet.control(vm)}/control/history')
            history = msgspec.json.decode(
                await answer.read(),
                type=HistoryReport,
            )
            for record in history.runs:
                if record.started >= counted_from:
                    prompt += record.prompt_tokens
                    uncached += record.uncached_tokens
    return 1 - uncached / prompt


def print_result(found: AffinityResult) -> None:
    """Print one row of the table."""
    sys.stdout.write(
        f'| {found.label} | {found.requests} | {found.failures} '
        f'| {found.cached_share:.1%} | {found.median_ms:.0f} '
        f'| {found.slow_ms:.0f} | {found.router_percent:.1f} |\n',
    )
    sys.stdout.flush()
