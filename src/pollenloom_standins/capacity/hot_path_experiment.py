"""Measures processor time per relayed event and per request."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from enum import Enum
from statistics import median

from pollenloom.core.ids import ServiceId, VmId
from pollenloom_standins.capacity.hot_path_fleet import (
    APPLICATION_SERVICE,
    MODEL_SERVICE,
    HotPathFleet,
)
from pollenloom_standins.capacity.hot_path_load import HotPathLoad
from pollenloom_standins.capacity.linear_fit import LinearFit
from pollenloom_standins.capacity.process_time import resident_bytes

Measure = Callable[[str, int], Coroutine[object, object, None]]
IDLE_SECONDS = 2.0


class Quantity(Enum):
    """Unit of work whose processor time is measured.

    Members without a suffix measure a router that also owns the pool. The
    others measure one of two routers: the one that the caller uses, or the
    pool owner.
    """

    EVENT = 'relayed event'
    MODEL = 'model request, owner on the same VM'
    MODEL_ROUTER = 'model request, router, owner on another VM'
    MODEL_OWNER = 'model request, owner, router on another VM'
    APPLICATION = 'application request, owner on the same VM'
    APPLICATION_ROUTER = 'application request, router, owner on another VM'
    APPLICATION_OWNER = 'application request, owner, router on another VM'


MeasurementKey = tuple[str, Quantity]
SecondsBySize = dict[int, list[float]]


@dataclass(frozen=True, kw_only=True)
class HotPathSizes:
    """Sizes of the load and number of the measurements.

    Attributes:
        streams: Concurrent streams.
        events: Events per stream, for each size of a measurement.
        calls: Number of calls, for each size of a measurement.
        concurrency: Concurrent calls.
        rounds: Number of measurements of each size.
    """

    streams: int
    events: tuple[int, ...]
    calls: tuple[int, ...]
    concurrency: int
    rounds: int


class HotPathExperiment:
    """Measures all fleets concurrently, so that other load affects all alike.

    Attributes:
        fleets: Fleets by the label of their version.
        load: Load of the callers.
        sizes: Sizes of the load and number of the measurements.
        idle_rates: Share of a core that each router uses without load, by
            version label.
        memory_bytes: Memory of each router after the warm-up, by version
            label.
        measurements: Processor time in seconds by size, for each version
            label and quantity.
    """

    def __init__(
        self,
        fleets: dict[str, HotPathFleet],
        load: HotPathLoad,
        sizes: HotPathSizes,
    ) -> None:
        self.fleets = fleets
        self.load = load
        self.sizes = sizes
        self.idle_rates: dict[str, dict[VmId, float]] = {}
        self.memory_bytes: dict[str, list[int]] = {}
        self.measurements: defaultdict[MeasurementKey, SecondsBySize] = (
            defaultdict(dict)
        )

    async def run(self) -> None:
        """Measure all sizes of all quantities."""
        for label, fleet in self.fleets.items():
            await self.warm_up(fleet)
            self.idle_rates[label] = await measure_idle_rates(fleet)
            self.memory_bytes[label] = [
                resident_bytes(router.pid) for router in fleet.routers.values()
            ]
        for _ in range(self.sizes.rounds):
            for events in self.sizes.events:
                await self.measure_all_fleets(self.measure_events, events)
            for calls in self.sizes.calls:
                await self.measure_all_fleets(self.measure_calls, calls)

    async def measure_all_fleets(self, measure: Measure, size: int) -> None:
        """Measure one size on all fleets concurrently."""
        await asyncio.gather(*(measure(label, size) for label in self.fleets))

    async def warm_up(self, fleet: HotPathFleet) -> None:
        """Send load, so that connections are open before the measurements."""
        streams = self.sizes.streams
        for vm in fleet.routers:
            url = fleet.callers_url(vm)
            await self.load.stream_many(url, streams, 1)
            for is_model in (True, False):
                await self.load.call_many(
                    url,
                    streams,
                    self.sizes.concurrency,
                    model=is_model,
                )

    async def measure_events(self, label: str, events: int) -> None:
        """Measure streams of one length through the pool owner."""
        fleet = self.fleets[label]
        streams = self.sizes.streams
        vm = fleet.router_for(MODEL_SERVICE, at_owner=True)
        used = await self.measure_usage(
            label,
            self.load.stream_many(fleet.callers_url(vm), streams, events),
        )
        self.record(label, Quantity.EVENT, events * streams, used[vm])

    async def measure_calls(self, label: str, calls: int) -> None:
        """Measure calls through the pool owner and through the other router."""
        fleet = self.fleets[label]
        for service, same, router, owner in (
            (
                MODEL_SERVICE,
                Quantity.MODEL,
                Quantity.MODEL_ROUTER,
                Quantity.MODEL_OWNER,
            ),
            (
                APPLICATION_SERVICE,
                Quantity.APPLICATION,
                Quantity.APPLICATION_ROUTER,
                Quantity.APPLICATION_OWNER,
            ),
        ):
            owner_vm = fleet.router_for(service, at_owner=True)
            other_vm = fleet.router_for(service, at_owner=False)
            used = await self.measure_call_usage(
                label, service, owner_vm, calls
            )
            self.record(label, same, calls, used[owner_vm])
            used = await self.measure_call_usage(
                label, service, other_vm, calls
            )
            self.record(label, router, calls, used[other_vm])
            self.record(label, owner, calls, used[owner_vm])

    async def measure_call_usage(
        self,
        label: str,
        service: ServiceId,
        vm: VmId,
        calls: int,
    ) -> dict[VmId, float]:
        """Call a service through a router.

        Returns the processor time of each router in seconds.
        """
        return await self.measure_usage(
            label,
            self.load.call_many(
                self.fleets[label].callers_url(vm),
                calls,
                self.sizes.concurrency,
                model=service == MODEL_SERVICE,
            ),
        )

    async def measure_usage(
        self,
        label: str,
        work: Coroutine[object, object, None],
    ) -> dict[VmId, float]:
        """Return the processor time of each router for some work, in seconds.

        The time that the routers would have used without load is subtracted.
        """
        fleet = self.fleets[label]
        before = fleet.processor_times()
        started = time.monotonic()
        await work
        duration = time.monotonic() - started
        after = fleet.processor_times()
        idle_rates = self.idle_rates[label]
        return {
            vm: after[vm] - before[vm] - duration * idle_rates[vm]
            for vm in after
        }

    def record(
        self,
        label: str,
        quantity: Quantity,
        size: int,
        seconds: float,
    ) -> None:
        """Add one measurement."""
        by_size = self.measurements[label, quantity]
        by_size.setdefault(size, []).append(seconds)

    def fit(self, label: str, quantity: Quantity) -> LinearFit:
        """Fit a line to the minimum of the measurements of each size.

        Other processes on the machine can only increase the processor time of
        the same work, through shared caches and cores.
        """
        by_size = self.measurements[label, quantity]
        return LinearFit.from_points(
            [(size, min(seconds)) for size, seconds in by_size.items()],
        )

    def median_ratio(
        self, before: str, after: str, quantity: Quantity
    ) -> float:
        """Return the median ratio of concurrent measurements.

        Args:
            before: Label of the version in the denominator.
            after: Label of the version in the numerator.
            quantity: Unit of work.
        """
        by_size = self.measurements[before, quantity]
        return median(
            later / earlier
            for size, seconds in by_size.items()
            for earlier, later in zip(
                seconds,
                self.measurements[after, quantity][size],
                strict=True,
            )
        )


async def measure_idle_rates(fleet: HotPathFleet) -> dict[VmId, float]:
    """Return the share of a core that each router uses without load."""
    before = fleet.processor_times()
    started = time.monotonic()
    await asyncio.sleep(IDLE_SECONDS)
    duration = time.monotonic() - started
    after = fleet.processor_times()
    return {vm: (after[vm] - before[vm]) / duration for vm in after}
