"""Traffic and processor time of the routers."""

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
NANOSECONDS: Final = 1e9
PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
SENT_BYTES: Final = 'pollenloom_peer_sent_bytes_total'
RECEIVED_BYTES: Final = 'pollenloom_peer_received_bytes_total'
SENT_FRAMES: Final = 'pollenloom_peer_sent_frames_total'
# Fields of /proc/<pid>/stat after the name in parentheses.
USER_TICKS: Final = 11
SYSTEM_TICKS: Final = 12


class RouterSample(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of one router at a moment."""

    pid: int
    at: float
    processor_seconds: float
    processor_wait: float
    memory_bytes: int
    counters: dict[str, float]


class PoolEpochView(msgspec.Struct, frozen=True):
    """The part of a pool's status with its epoch."""

    epoch: int


class EpochsView(msgspec.Struct, frozen=True):
    """The part of the fleet's status with the epochs."""

    pools: tuple[PoolEpochView, ...]


class RouterProbe:
    """Reads metrics from the operators' addresses and from /proc."""

    def __init__(self, fleet: ProcessFleet) -> None:
        self.fleet = fleet

    async def sample(self) -> dict[VmId, RouterSample]:
        """Return a sample of each router that runs."""
        headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
        samples: dict[VmId, RouterSample] = {}
        async with aiohttp.ClientSession(headers=headers) as session:
            for vm, process in self.fleet.routers.items():
                if not process.is_running:
                    continue
                address = process.ready['ready']['operators']
                url = f'http://{address}/metrics'
                async with session.get(url) as answer:
                    text = await answer.text()
                samples[vm] = sample_of(process.pid, text)
        return samples


async def read_status(fleet: ProcessFleet) -> bytes:
    """Return the status of the fleet as one router tells it."""
    async with aiohttp.ClientSession(
        headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        raise_for_status=True,
    ) as session:
        url = f'http://{fleet.operator_addresses()[0]}/status'
        async with session.get(url) as answer:
            return await answer.read()


async def read_epochs(fleet: ProcessFleet) -> int:
    """Return the sum of all pools' epochs; it grows with each new owner."""
    content = await read_status(fleet)
    status = msgspec.json.decode(content, type=EpochsView)
    return sum(pool.epoch for pool in status.pools)


def sample_of(pid: int, metrics: str) -> RouterSample:
    """Return the sample of one process."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
    pages = Path(f'/proc/{pid}/statm').read_text(encoding='ascii').split()
    schedule = Path(f'/proc/{pid}/schedstat').read_text(encoding='ascii')
    return RouterSample(
        pid=pid,
        at=time.monotonic(),
        processor_seconds=ticks / TICKS_PER_SECOND,
        processor_wait=int(schedule.split()[1]) / NANOSECONDS,
        memory_bytes=int(pages[1]) * PAGE_BYTES,
        counters={
            entry.name: entry.value
            for family in text_string_to_metric_families(metrics)
            for entry in family.samples
            if entry.name.startswith('pollenloom_peer_')
        },
    )


def router_use(
    before: dict[VmId, RouterSample],
    after: dict[VmId, RouterSample],
) -> RouterUse:
    """Return the use between two samples of the same processes."""
    pairs = [
        (before[vm], sample)
        for vm, sample in after.items()
        if vm in before and before[vm].pid == sample.pid
    ]
    if not pairs:
        return RouterUse()
    processor = [
        (last.processor_seconds - first.processor_seconds)
        / (last.at - first.at)
        for first, last in pairs
    ]
    return RouterUse(
        sent_bytes=rate_of(SENT_BYTES, pairs),
        received_bytes=rate_of(RECEIVED_BYTES, pairs),
        sent_frames=rate_of(SENT_FRAMES, pairs),
        processor_seconds=fmean(processor),
        busiest_processor_seconds=max(processor),
        memory_bytes=max(last.memory_bytes for _, last in pairs),
        processor_wait=fmean(
            (last.processor_wait - first.processor_wait) / (last.at - first.at)
            for first, last in pairs
        ),
    )


def rate_of(
    counter: str,
    pairs: list[tuple[RouterSample, RouterSample]],
) -> float:
    """Return the mean growth of a counter for a router and second."""
    return fmean(
        (last.counters[counter] - first.counters[counter])
        / (last.at - first.at)
        for first, last in pairs
    )
