"""Samples metrics, processor time and memory of the routers."""

import os
import time
from pathlib import Path
from statistics import fmean
from typing import Final

import aiohttp
import msgspec
from prometheus_client.parser import text_string_to_metric_families

from pollenloom.core.ids import VmId
from pollenloom_standins.experiment.results import RouterUse
from pollenloom_standins.fleet.process_fleet import OPERATOR_TOKEN, ProcessFleet

TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')
NANOSECONDS_PER_SECOND: Final = 1e9
PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
SENT_BYTES: Final = 'pollenloom_peer_sent_bytes_total'
RECEIVED_BYTES: Final = 'pollenloom_peer_received_bytes_total'
SENT_FRAMES: Final = 'pollenloom_peer_sent_frames_total'
# Indexes of the fields of /proc/<pid>/stat after the name in parentheses.
USER_TICKS_FIELD: Final = 11
SYSTEM_TICKS_FIELD: Final = 12


class RouterSample(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of one router at one time.

    Attributes:
        pid: Id of the process; totals of different processes are not
            comparable.
        at: Monotonic time of the sample, in seconds.
        processor_seconds: Processor time, user and system.
        processor_wait: Seconds ready to run without a processor.
        memory_bytes: Resident memory.
        counters: Peer metrics by name.
    """

    pid: int
    at: float
    processor_seconds: float
    processor_wait: float
    memory_bytes: int
    counters: dict[str, float]


class PoolEpochView(msgspec.Struct, frozen=True):
    """Epoch of a pool, from the fleet's status."""

    epoch: int


class EpochsView(msgspec.Struct, frozen=True):
    """Epochs of the fleet's status; other fields are ignored."""

    pools: tuple[PoolEpochView, ...]


class RouterProbe:
    """Samples the routers of a fleet from their metrics and from /proc."""

    def __init__(self, fleet: ProcessFleet) -> None:
        self.fleet = fleet

    async def sample(self) -> dict[VmId, RouterSample]:
        """Return a sample of each running router."""
        headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
        samples: dict[VmId, RouterSample] = {}
        async with aiohttp.ClientSession(headers=headers) as session:
            for vm, process in self.fleet.routers.items():
                if not process.is_running:
                    continue
                address = process.ready['ready']['operators']
                url = f'http://{address}/metrics'
                async with session.get(url) as response:
                    text = await response.text()
                samples[vm] = read_sample(process.pid, text)
        return samples


async def read_status(fleet: ProcessFleet) -> bytes:
    """Return the status of the fleet as JSON, from one running router."""
    async with aiohttp.ClientSession(
        headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        raise_for_status=True,
    ) as session:
        url = f'http://{fleet.operator_addresses()[0]}/status'
        async with session.get(url) as response:
            return await response.read()


async def read_epoch_sum(fleet: ProcessFleet) -> int:
    """Return the sum of all pools' epochs; each change of owner adds to it."""
    content = await read_status(fleet)
    status = msgspec.json.decode(content, type=EpochsView)
    return sum(pool.epoch for pool in status.pools)


def read_sample(pid: int, metrics: str) -> RouterSample:
    """Sample a process; `metrics` is its Prometheus text."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    pages = Path(f'/proc/{pid}/statm').read_text(encoding='ascii').split()
    schedule_statistics = Path(f'/proc/{pid}/schedstat').read_text(
        encoding='ascii'
    )
    return RouterSample(
        pid=pid,
        at=time.monotonic(),
        processor_seconds=ticks / TICKS_PER_SECOND,
        processor_wait=int(schedule_statistics.split()[1])
        / NANOSECONDS_PER_SECOND,
        memory_bytes=int(pages[1]) * PAGE_BYTES,
        counters={
            entry.name: entry.value
            for family in text_string_to_metric_families(metrics)
            for entry in family.samples
            if entry.name.startswith('pollenloom_peer_')
        },
    )


def measure_router_use(
    before: dict[VmId, RouterSample],
    after: dict[VmId, RouterSample],
) -> RouterUse:
    """Return the use of resources between two samples of the routers.

    Routers that were restarted in between are left out; zeros if none is left.
    """
    pairs = [
        (before[vm], sample)
        for vm, sample in after.items()
        if vm in before and before[vm].pid == sample.pid
    ]
    if not pairs:
        return RouterUse()
    processor_use = [
        (last.processor_seconds - first.processor_seconds)
        / (last.at - first.at)
        for first, last in pairs
    ]
    return RouterUse(
        sent_bytes=mean_rate(SENT_BYTES, pairs),
        received_bytes=mean_rate(RECEIVED_BYTES, pairs),
        sent_frames=mean_rate(SENT_FRAMES, pairs),
        processor_seconds=fmean(processor_use),
        busiest_processor_seconds=max(processor_use),
        memory_bytes=max(last.memory_bytes for _, last in pairs),
        processor_wait=fmean(
            (last.processor_wait - first.processor_wait) / (last.at - first.at)
            for first, last in pairs
        ),
    )


def mean_rate(
    counter: str,
    pairs: list[tuple[RouterSample, RouterSample]],
) -> float:
    """Return the growth of a counter per second, as a mean of the routers."""
    return fmean(
        (last.counters[counter] - first.counters[counter])
        / (last.at - first.at)
        for first, last in pairs
    )
