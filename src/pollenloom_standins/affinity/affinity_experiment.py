"""Runs a case of the affinity measurement on a fleet of processes."""

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

ENGINE_COUNT: Final = 5
ROUTER_COUNT: Final = 2
ACCOUNT_COUNT: Final = 4
SERVICE: Final = ServiceId('answers')
DATA_CENTRE: Final = DataCentreId('enschede')
REQUESTS_PER_SECOND: Final = 45.0
LOAD_SECONDS: Final = 30.0
WARM_UP_SECONDS: Final = 8.0
# All prefixes together need 600 blocks, a fifth of them 120: an engine can
# cache its share of the prefixes, but not all of them.
ENGINE_OPTIONS: Final = (
    '--token-ms',
    '2',
    '--prefill-token-ms',
    '0.5',
    '--cache-blocks',
    '200',
)


class AffinityResult(msgspec.Struct, frozen=True, kw_only=True):
    """Measurements of one run.

    Attributes:
        label: Name of the case.
        requests: Completed requests after the warm-up.
        failures: Requests without a complete response, also of the warm-up.
        cached_share: Fraction of the prompt tokens that were cached.
        median_ms: Median time to the first token.
        slow_ms: 95th percentile of the time to the first token.
        router_percent: Processor time of all routers, in percent of a core.
    """

    label: str
    requests: int
    failures: int
    cached_share: float
    median_ms: float
    slow_ms: float
    router_percent: float


async def measure(case: AffinityCase) -> AffinityResult:
    """Run one case on a new fleet."""
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        text = service_text(
            SERVICE, Resource.MODEL, ACCOUNT_COUNT, (DATA_CENTRE,)
        )
        write_service(directory, SERVICE, text)
        async with ProcessFleet(make_plan(case, directory), directory) as fleet:
            return await measure_fleet(case, fleet)


def make_plan(case: AffinityCase, directory: Path) -> FleetPlan:
    """Return a plan with routers and engines in one data centre.

    Args:
        case: Settings of the run.
        directory: Directory of the service files.
    """
    return FleetPlan(
        routers=tuple(
            RouterPlan(
                vm=VmId(f'router-{number}'),
                data_centre=DATA_CENTRE,
                host='127.0.0.1',
                sections=case.sections,
            )
            for number in range(ROUTER_COUNT)
        ),
        backends=tuple(
            BackendPlan(
                vm=VmId(f'engine-{number}'),
                service=SERVICE,
                resource=Resource.MODEL,
                data_centre=DATA_CENTRE,
                options=ENGINE_OPTIONS + case.engine_options,
            )
            for number in range(ENGINE_COUNT)
        ),
        directories=(directory,),
    )


async def measure_fleet(
    case: AffinityCase, fleet: ProcessFleet
) -> AffinityResult:
    """Send the load to a fleet and collect the measurements."""
    urls = tuple(fleet.callers_url(vm) for vm in fleet.routers)
    load = AffinityLoad(urls, ACCOUNT_COUNT)
    counted_from = time.time() + WARM_UP_SECONDS
    before = router_seconds(fleet)
    await load.run(REQUESTS_PER_SECOND, LOAD_SECONDS, WARM_UP_SECONDS)
    used_seconds = router_seconds(fleet) - before
    times = sorted(load.first_token_seconds)
    return AffinityResult(
        label=case.label,
        requests=len(times),
        failures=load.failures,
        cached_share=await cached_share(fleet, counted_from),
        median_ms=1000 * statistics.median(times),
        slow_ms=1000 * times[len(times) * 95 // 100],
        router_percent=100 * used_seconds / LOAD_SECONDS,
    )


def router_seconds(fleet: ProcessFleet) -> float:
    """Return the processor time used by all routers, in seconds."""
    return sum(
        processor_seconds(process.pid) for process in fleet.routers.values()
    )


async def cached_share(fleet: ProcessFleet, counted_from: float) -> float:
    """Return the fraction of prompt tokens that engines had in their caches.

    Args:
        fleet: Fleet with the engines.
        counted_from: Start of the first run that counts, in seconds since the
            Unix epoch.
    """
    prompt_tokens = 0
    uncached_tokens: float = 0
    async with aiohttp.ClientSession() as session:
        for vm in fleet.backends:
            response = await session.get(
                f'{fleet.control_url(vm)}/control/history'
            )
            history = msgspec.json.decode(
                await response.read(),
                type=HistoryReport,
            )
            for record in history.runs:
                if record.started >= counted_from:
                    prompt_tokens += record.prompt_tokens
                    uncached_tokens += record.uncached_tokens
    return 1 - uncached_tokens / prompt_tokens


def print_result(measured: AffinityResult) -> None:
    """Print a run as a row of a Markdown table."""
    sys.stdout.write(
        f'| {measured.label} | {measured.requests} | {measured.failures} '
        f'| {measured.cached_share:.1%} | {measured.median_ms:.0f} '
        f'| {measured.slow_ms:.0f} | {measured.router_percent:.1f} |\n',
    )
    sys.stdout.flush()
