"""Processor time per event and per request, for versions of the code."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import Enum
from statistics import median

from pollenloom.core.ids import ServiceId, VmId
from pollenloom_standins.capacity.hot_fleet import (
    APPLICATION,
    MODEL,
    HotFleet,
)
from pollenloom_standins.capacity.hot_load import HotLoad
from pollenloom_standins.capacity.linear_fit import LinearFit
from pollenloom_standins.capacity.process_time import resident_bytes

Measure = Callable[[str, int], Coroutine[object, object, None]]
IDLE_SECONDS = 2.0


class Quantity(Enum):
    """What a slope is the processor time of."""

    EVENT = 'relayed event'
    MODEL = 'model request, owner on the same VM'
    MODEL_ROUTER = 'model request, router, owner on another VM'
    MODEL_OWNER = 'model request, owner, router on another VM'
    APPLICATION = 'application request, owner on the same VM'
    APPLICATION_ROUTER = 'application request, router, owner on another VM'
    APPLICATION_OWNER = 'application request, owner, router on another VM'


PointsKey = tuple[str, Quantity]
Points = dict[int, list[float]]


@dataclass(frozen=True, kw_only=True)
class HotPathSizes:
    """How much is measured.

    Attributes:
        streams: Streams at the same time.
        events: Events of each stream, one number for each size.
        calls: Calls of each size.
        concurrency: Calls at the same time.
        rounds: How often each size is measured.
    """

    streams: int
    events: tuple[int, ...]
    calls: tuple[int, ...]
    concurrency: int
    rounds: int


class HotPathExperiment:
    """Measures fleets at once, so that all meet the same load of the machine.

    Attributes:
        fleets: Fleet of each version, by the version's label.
    """

    def __init__(
        self,
        fleets: dict[str, HotFleet],
        load: HotLoad,
        sizes: HotPathSizes,
    ) -> None:
        self.fleets = fleets
        self.load = load
        self.sizes = sizes
        self.idle: dict[str, dict[VmId, float]] = {}
        self.memory: dict[str, list[int]] = {}
        self.points: defaultdict[PointsKey, Points] = defaultdict(dict)

    async def run(self) -> None:
        """Measure all sizes of all quantities."""
        for label, fleet in self.fleets.items():
            await self.warm_up(fleet)
            self.idle[label] = await idle_rates(fleet)
            self.memory[label] = [
                resident_bytes(router.pid) for router in fleet.routers.values()
            ]
        for _ in range(self.sizes.rounds):
            for events in self.sizes.events:
                await self.on_all_fleets(self.measure_events, events)
            for calls in self.sizes.calls:
                await self.on_all_fleets(self.measure_calls, calls)

    async def on_all_fleets(self, measure: Measure, size: int) -> None:
        """Measure all versions at the same time."""
        await asyncio.gather(*(measure(label, size) for label in self.fleets))

    async def warm_up(self, fleet: HotFleet) -> None:
        """Open the connections that the measurements use."""
        streams = self.sizes.streams
        for vm in fleet.routers:
            url = fleet.callers(vm)
            await self.load.stream_many(url, streams, 1)
            for is_model in (True, False):
                await self.load.call_many(
                    url,
                    streams,
                    self.sizes.concurrency,
                    model=is_model,
                )

    async def measure_events(self, label: str, events: int) -> None:
        """Measure streams of one length; the owner is on the same VM."""
        fleet = self.fleets[label]
        streams = self.sizes.streams
        vm = fleet.router_for(MODEL, at_owner=True)
        used = await self.used(
            label,
            self.load.stream_many(fleet.callers(vm), streams, events),
        )
        self.note(label, Quantity.EVENT, events * streams, used[vm])

    async def measure_calls(self, label: str, calls: int) -> None:
        """Measure calls of all kinds."""
        fleet = self.fleets[label]
        for service, same, router, owner in (
            (
                MODEL,
                Quantity.MODEL,
                Quantity.MODEL_ROUTER,
                Quantity.MODEL_OWNER,
            ),
            (
                APPLICATION,
                Quantity.APPLICATION,
                Quantity.APPLICATION_ROUTER,
                Quantity.APPLICATION_OWNER,
            ),
        ):
            owner_vm = fleet.router_for(service, at_owner=True)
            other_vm = fleet.router_for(service, at_owner=False)
            used = await self.used_by_calls(label, service, owner_vm, calls)
            self.note(label, same, calls, used[owner_vm])
            used = await self.used_by_calls(label, service, other_vm, calls)
            self.note(label, router, calls, used[other_vm])
            self.note(label, owner, calls, used[owner_vm])

    async def used_by_calls(
        self,
        label: str,
        service: ServiceId,
        vm: VmId,
        calls: int,
    ) -> dict[VmId, float]:
        """Call a service at a router and return what the routers used."""
        return await self.used(
            label,
            self.load.call_many(
                self.fleets[label].callers(vm),
                calls,
                self.sizes.concurrency,
                model=service == MODEL,
            ),
        )

    async def used(
        self,
        label: str,
        work: Coroutine[object, object, None],
    ) -> dict[VmId, float]:
        """Return the processor time that work took, without idle work."""
        fleet = self.fleets[label]
        before = fleet.processor_times()
        started = time.monotonic()
        await work
        duration = time.monotonic() - started
        after = fleet.processor_times()
        idle = self.idle[label]
        return {
            vm: after[vm] - before[vm] - duration * idle[vm] for vm in after
        }

    def note(
        self,
        label: str,
        quantity: Quantity,
        size: int,
        seconds: float,
    ) -> None:
        """Keep one measurement."""
        sizes = self.points[label, quantity]
        sizes.setdefault(size, []).append(seconds)

    def fit(self, label: str, quantity: Quantity) -> LinearFit:
        """Fit the least of the measurements of each size.

        Other processes on the machine can only add to the processor time of
        the same work, through caches and shared cores.
        """
        sizes = self.points[label, quantity]
        return LinearFit.from_points(
            [(size, min(seconds)) for size, seconds in sizes.items()],
        )

    def ratio(self, before: str, after: str, quantity: Quantity) -> float:
        """Return the median ratio of measurements taken at the same time."""
        sizes = self.points[before, quantity]
        return median(
            later / earlier
            for size, seconds in sizes.items()
            for earlier, later in zip(
                seconds,
                self.points[after, quantity][size],
                strict=True,
            )
        )


async def idle_rates(fleet: HotFleet) -> dict[VmId, float]:
    """Return the share of a core that each router uses without load."""
    before = fleet.processor_times()
    started = time.monotonic()
    await asyncio.sleep(IDLE_SECONDS)
    duration = time.monotonic() - started
    after = fleet.processor_times()
    return {vm: (after[vm] - before[vm]) / duration for vm in after}
