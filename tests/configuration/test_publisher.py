"""Tests of concurrent publishes and lost responses of the platform."""

import asyncio
from itertools import starmap

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from pollenloom.configuration.change_history import ChangeHistory
from pollenloom.configuration.history_reader import (
    FIRST_WINDOW_RECORDS,
    HistoryReader,
)
from pollenloom.configuration.log_entries import ConfigurationChange
from pollenloom.configuration.publish_outcome import PublishDecision
from pollenloom.configuration.publish_result import (
    PublishResult,
    PublishState,
)
from pollenloom.configuration.publisher import Publisher
from pollenloom.core.ids import Offset
from pollenloom.log_service.log_entry import decode_entry, encode_entry
from tests.configuration.service_texts import NOW, service_text
from tests.fakes.memory_platform import AppendFault, MemoryPlatform
from tests.manual_clock import ManualClock

# A record of a kind that the configuration ignores.
ORDER = cbor2.dumps({'kind': 'order'})


class AdvancingClock(ManualClock):
    """Clock that advances by 50 ms each time it is read."""

    def monotonic(self) -> float:
        self.advance(0.05)
        return self.now


def make_publisher(
    platform: MemoryPlatform,
    name: str = 'ann',
    timeout_seconds: float = 1000,
) -> Publisher:
    clock = AdvancingClock(NOW)
    publisher = Publisher(platform, clock, name, timeout_seconds)
    publisher.pause_seconds = 0
    return publisher


def files(share: int) -> dict[str, str]:
    return {'a.toml': service_text(share=str(share))}


@pytest.fixture
def platform() -> MemoryPlatform:
    return MemoryPlatform(ManualClock(NOW))


class RacePlatform(MemoryPlatform):
    """Platform whose calls take a second, with a router that adds snapshots."""

    def __init__(self, retention_seconds: float) -> None:
        super().__init__(ManualClock(NOW), retention_seconds)
        self.manual_clock = ManualClock(NOW)
        self.clock = self.manual_clock
        self.history = ChangeHistory()
        self.written_at = NOW

    async def delay(self) -> None:
        self.manual_clock.advance(1)
        state = self.history.state
        age = self.clock.wall() - self.written_at
        if state.revision and age > self.retention_seconds / 4:
            self.written_at = self.clock.wall()
            self.add(encode_entry(replace(state, position=self.end)))
        await super().delay()

    def add(self, payload: bytes) -> Offset:
        offset = super().add(payload)
        entry = decode_entry(payload)
        if isinstance(entry, ConfigurationChange):
            self.history.apply(offset, self.clock.wall(), entry)
        return offset


@given(
    counts=st.lists(st.integers(1, 3), min_size=2, max_size=4),
    retention=st.sampled_from((40, 100, 1000)),
    delays=st.lists(st.integers(0, 3), max_size=60),
    faults=st.lists(st.sampled_from(AppendFault), max_size=8),
    read_faults=st.lists(st.booleans(), max_size=20),
)
def test_racing_publishes_report_their_outcome(
    counts: list[int],
    retention: int,
    delays: list[int],
    faults: list[AppendFault],
    read_faults: list[bool],
) -> None:
    """Guards against a publish that reports another outcome than the log.

    Operators publish concurrently, while responses are lost or late. Each
    revision must have exactly one publish that reports it as published.
    """
    platform = RacePlatform(retention)
    platform.delays.extend(delays)
    platform.faults.extend(faults)
    platform.read_faults.extend(read_faults)
    results: list[PublishResult] = []

    async def operate(number: int, count: int) -> None:
        for turn in range(count):
            publisher = make_publisher(platform, f'operator {number}')
            share = 1 + number * 10 + turn
            results.append(await publisher.publish(files(share)))

    async def race() -> HistoryReader:
        await asyncio.gather(*starmap(operate, enumerate(counts)))
        platform.read_faults.clear()
        reader = HistoryReader(platform)
        await reader.open()
        return reader

    late = asyncio.run(race()).history
    history = platform.history
    assert (late.revision, late.state.publish_id) == (
        history.revision,
        history.state.publish_id,
    )
    revisions = sorted(
        result.revision
        for result in results
        if result.state is PublishState.PUBLISHED
    )
    assert revisions == list(range(1, history.revision + 1))
    for result in results:
        outcome = history.find_outcome(result.publish_id)
        assert outcome is not None
        won = outcome.decision is PublishDecision.ACCEPTED
        assert won is (result.state is PublishState.PUBLISHED)
        assert (result.revision, result.publisher) == (
            outcome.revision,
            outcome.winner,
        )


async def test_platform_down(platform: MemoryPlatform) -> None:
    """Guards against a publish that never times out.

    The platform is down, or rejects each append.
    """
    platform.down = True
    publisher = make_publisher(platform, timeout_seconds=0.5)
    result = await publisher.publish(files(1))
    assert result.state is PublishState.UNAVAILABLE
    platform.down = False
    platform.faults.extend(AppendFault.REFUSED for _ in range(50))
    publisher = make_publisher(platform, timeout_seconds=0.5)
    result = await publisher.publish(files(1))
    assert result.state is PublishState.UNAVAILABLE
    assert not platform.records


async def test_unknown_outcome_then_unchanged(platform: MemoryPlatform) -> None:
    """Guards against publishing the same files twice.

    The append takes effect, but the platform goes down before the publisher
    receives a response; the operator then publishes again.
    """
    publisher = make_publisher(platform, timeout_seconds=0.5)
    platform.faults.append(AppendFault.LOST_AFTER)
    append = platform.append

    async def append_then_down(payload: bytes) -> object:
        result = await append(payload)
        platform.down = True
        return result

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(platform, 'append', append_then_down)
        result = await publisher.publish(files(1))
    assert result.state is PublishState.UNKNOWN
    platform.down = False
    again = await make_publisher(platform).publish(files(1))
    assert again.state is PublishState.UNCHANGED
    assert (again.revision, len(platform.records)) == (1, 1)


async def test_invalid_files_are_not_appended(platform: MemoryPlatform) -> None:
    """Guards against invalid files in the log that all routers read."""
    result = await make_publisher(platform).publish(files(-1))
    assert result.state is PublishState.INVALID
    assert result.problems
    assert not platform.records


async def test_base_is_found_behind_many_orders(
    platform: MemoryPlatform,
) -> None:
    """Guards against a base revision of 0 in a long log.

    The snapshot is behind more orders than the first window covers.
    """
    first = await make_publisher(platform).publish(files(1))
    reader = HistoryReader(platform)
    await reader.open()
    for _ in range(FIRST_WINDOW_RECORDS * 2):
        platform.add(ORDER)
    platform.add(encode_entry(reader.history.state))
    for _ in range(FIRST_WINDOW_RECORDS * 2):
        platform.add(ORDER)
    second = await make_publisher(platform).publish(files(2))
    assert (first.revision, second.revision) == (1, 2)


async def test_trimmed_log_of_a_new_fleet() -> None:
    """Guards against endless waiting for a snapshot.

    Records were trimmed, but no router has a configuration to append.
    """
    clock = ManualClock(NOW)
    platform = MemoryPlatform(clock, retention_seconds=10)
    platform.add(b'')
    clock.advance(11)
    result = await make_publisher(platform).publish(files(1))
    assert (result.state, result.revision) == (PublishState.PUBLISHED, 1)
