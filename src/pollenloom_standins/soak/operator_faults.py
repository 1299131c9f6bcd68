"""Operators' commands under load, and cut links."""

import asyncio
import time
from typing import ClassVar, Final

from pollenloom.configuration.file_collector import collect_files
from pollenloom.configuration.publish_result import (
    PublishResult,
    PublishState,
)
from pollenloom.configuration.publisher import Publisher
from pollenloom.console.platform_client import open_platform
from pollenloom.core.ids import DataCentreId
from pollenloom.core.states import DataCentreState
from pollenloom.kernel.clock import Clock
from pollenloom.settings.router_settings import PlatformSettings
from pollenloom_standins.demo.demo_plan import DATA_CENTRES
from pollenloom_standins.history.fault_record import FaultRecord
from pollenloom_standins.history.samples import ConfirmedPublish
from pollenloom_standins.soak.fault import Fault
from pollenloom_standins.soak.round_environment import RoundEnvironment

PUBLISHERS: Final = ('anna', 'berend')
PUBLISH_TIMEOUT_SECONDS: Final = 10
# Limit in the service files that a publish replaces.
LIMIT_TEXT: Final = 'max_waiting = 256'
# Range of the published limits; no client account of the load reaches them.
WAITING_LIMITS: Final = (1000, 10_000)


class LinkCut(Fault):
    """Cuts a router off from all other routers."""

    def __init__(self, *, one_way: bool) -> None:
        self.one_way = one_way

    async def choose(self, environment: RoundEnvironment) -> str | None:
        """Return a random router; see `Fault.choose`."""
        return environment.pick(
            [plan.vm for plan in environment.fleet.plan.routers]
        )

    async def begin(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Cut the links of the router."""
        host = environment.router_plan(record.target).host
        await environment.relays.cut_off(host, one_way=self.one_way)

    async def end(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Restore the links of the router."""
        await environment.relays.reconnect(
            environment.router_plan(record.target).host
        )


class Drain(Fault):
    """Takes a data centre out of service and restores it."""

    seconds: ClassVar[tuple[float, float]] = (5.0, 8.0)

    async def choose(self, environment: RoundEnvironment) -> str | None:
        """Return a random data centre; None unless all are in service."""
        if environment.busy.intersection(DATA_CENTRES):
            return None
        return environment.pick(list(DATA_CENTRES))

    async def begin(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Send the command; remove the record if no router accepts it."""
        outcome = await environment.operator_client().set_data_centre_state(
            DataCentreId(record.target),
            DataCentreState.OUT,
        )
        if outcome.is_error():
            environment.schedule_problems.append(f'drain: {outcome.error}')
            environment.history.faults.remove(record)

    async def end(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Restore the data centre."""
        outcome = await environment.operator_client().set_data_centre_state(
            DataCentreId(record.target),
            DataCentreState.IN_SERVICE,
        )
        if outcome.is_error():
            environment.schedule_problems.append(f'restore: {outcome.error}')


class PublishRace(Fault):
    """Lets two operators publish different limits at once."""

    seconds: ClassVar[tuple[float, float]] = (0, 1.0)

    async def choose(self, environment: RoundEnvironment) -> str | None:
        """Return a common name, so that only one race runs at a time."""
        return environment.pick(['publishers'])

    async def begin(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Publish as both operators and record what was confirmed."""
        await asyncio.gather(
            *(publish(environment, publisher) for publisher in PUBLISHERS),
        )

    async def end(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Do nothing; the published limit stays in force."""


async def publish(
    environment: RoundEnvironment, publisher: str
) -> PublishResult:
    """Publish the service files with a random limit; record success."""
    limit = environment.random_source.randint(*WAITING_LIMITS)
    collected = collect_files(list(environment.fleet.plan.directories))
    files = {
        name: text.replace(LIMIT_TEXT, f'max_waiting = {limit}')
        for name, text in collected.files.items()
    }
    settings = PlatformSettings(url=environment.fleet.platform_url)
    async with open_platform(settings) as platform:
        result = await Publisher(
            platform,
            Clock(),
            publisher,
            PUBLISH_TIMEOUT_SECONDS,
        ).publish(files)
    if result.state is PublishState.INVALID:
        environment.schedule_problems.append(f'publish: {result.problems}')
    if result.state is PublishState.PUBLISHED:
        environment.history.publishes.append(
            ConfirmedPublish(
                publisher=publisher,
                revision=result.revision,
                told_at=time.time(),
            ),
        )
    return result
