"""Events of an engine's prefix cache, with a lag and with losses."""

import random
from collections import deque
from enum import Enum, unique
from typing import Final

import msgspec

from pollenloom_standins.engine.prefix_cache import CacheChange

MAXIMUM_EVENTS: Final = 10_000


@unique
class EngineCacheEventKind(Enum):
    """What happened to the prefixes of an event."""

    STORED = 'stored'
    EVICTED = 'evicted'


class EngineCacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change of the cache; lost events leave gaps in the sequence.

    Attributes:
        sequence: Number of the event, from 0.
        at: Time of the change in seconds of the engine's monotonic clock.
        kind: What happened.
        hashes: 64-bit hashes of prefixes.
    """

    sequence: int
    at: float
    kind: EngineCacheEventKind
    hashes: tuple[int, ...]


class EngineCacheEventPage(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `GET /cache-events?from=n`.

    Attributes:
        events: Events from `n` on that are older than the lag.
        next: Value of `from` for the next call; below `n` after a restart.
    """

    events: tuple[EngineCacheEvent, ...]
    next: int


class CacheEventLog:
    """Keeps the latest cache events.

    Attributes:
        lag_seconds: Age from which readers see an event.
        lost_fraction: Fraction of events that are lost.
        sequence: Number of the next event.
    """

    def __init__(
        self,
        lag_seconds: float,
        lost_fraction: float,
        seed: int = 1,
    ) -> None:
        self.lag_seconds = lag_seconds
        self.lost_fraction = lost_fraction
        self.random = random.Random(seed)
        self.events: deque[EngineCacheEvent] = deque(maxlen=MAXIMUM_EVENTS)
        self.sequence = 0

    def add(self, change: CacheChange, now: float) -> None:
        """Add the events of a change of the cache."""
        self.add_event(EngineCacheEventKind.STORED, change.stored, now)
        self.add_event(EngineCacheEventKind.EVICTED, change.evicted, now)

    def add_event(
        self,
        kind: EngineCacheEventKind,
        hashes: tuple[int, ...],
        now: float,
    ) -> None:
        """Add an event unless it is empty or lost; a lost one is numbered."""
        if not hashes:
            return
        event = EngineCacheEvent(
            sequence=self.sequence,
            at=now,
            kind=kind,
            hashes=hashes,
        )
        self.sequence += 1
        if self.random.random() >= self.lost_fraction:
            self.events.append(event)

    def page(self, start: int, now: float) -> EngineCacheEventPage:
        """Return the events from a number on that are older than the lag."""
        limit = now - self.lag_seconds
        events = tuple(
            event
            for event in self.events
            if event.sequence >= start and event.at <= limit
        )
        following = min(start, self.sequence)
        if events:
            following = events[-1].sequence + 1
        return EngineCacheEventPage(events=events, next=following)
