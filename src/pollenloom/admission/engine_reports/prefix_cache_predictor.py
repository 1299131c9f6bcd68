"""Prefixes that an engine is believed to have cached."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from pollenloom.admission.engine_reports.cache_event import (
    CacheEvent,
    CacheEventKind,
    CacheEventPage,
)

# About the prefixes that an engine's cache holds; 0.4 MB for each server.
KEPT_PREFIXES: Final = 2048
# Time for the stored event of a granted request to arrive: events come
# several seconds late.
PREDICTION_SECONDS: Final = 30.0
# Prefixes in use are predicted again within this time, so that a lost event
# costs only the beliefs that nothing renews.
GAP_SECONDS: Final = 10.0


@dataclass(slots=True)
class PredictedPrefix:
    """Why a prefix is believed to be cached.

    Attributes:
        seen_at: Time of the latest grant or event with it.
        is_fact: Whether an event told it.
    """

    seen_at: float
    is_fact: bool


class PrefixCachePredictor:
    """Predicts the cache from own grants and corrects it by events."""

    def __init__(self, limit: int = KEPT_PREFIXES) -> None:
        self.limit = limit
        # Least recently seen first.
        self.predictions: OrderedDict[int, PredictedPrefix] = OrderedDict()
        self.next_sequence = 0
        self.has_events = False
        self.doubted_at: float | None = None

    def predict(self, prefixes: Sequence[int], now: float) -> None:
        """Expect the prefixes of a granted request to become cached."""
        for prefix in prefixes:
            known = self.predictions.get(prefix)
            self.note(prefix, now, is_fact=known is not None and known.is_fact)
        self.expire(now)

    def read(self, page: CacheEventPage, now: float) -> None:
        """Correct the beliefs by a page asked for from `next_sequence`."""
        for event in page.events:
            self.observe(event, now)
        if page.next < self.next_sequence:
            self.restart(page.next)
        self.skip_to(page.next, now)
        self.expire(now)

    def observe(self, event: CacheEvent, now: float) -> None:
        """Take one event as a fact.

        A number that goes back means that the server was restarted.
        """
        if event.sequence < self.next_sequence:
            self.restart(event.sequence)
        self.skip_to(event.sequence, now)
        self.next_sequence = event.sequence + 1
        self.has_events = True
        for prefix in event.hashes:
            if event.kind is CacheEventKind.STORED:
                self.note(prefix, now, is_fact=True)
            else:
                self.predictions.pop(prefix, None)

    def skip_to(self, sequence: int, now: float) -> None:
        """Doubt all beliefs if events before a number are missing."""
        if sequence > self.next_sequence and self.doubted_at is None:
            self.doubted_at = now
        self.next_sequence = max(self.next_sequence, sequence)

    def note(self, prefix: int, now: float, *, is_fact: bool) -> None:
        """Make a belief the most recent one; drop the oldest above the limit.

        Dropping here keeps long events within the limit as well.
        """
        self.predictions[prefix] = PredictedPrefix(now, is_fact)
        self.predictions.move_to_end(prefix)
        if len(self.predictions) > self.limit:
            self.predictions.popitem(last=False)

    def restart(self, next_sequence: int = 0) -> None:
        """Forget all: a restarted server has an empty cache."""
        self.predictions.clear()
        self.next_sequence = next_sequence
        self.doubted_at = None

    def expire(self, now: float) -> None:
        """Drop what was not seen again some time after a gap."""
        doubted_at = self.doubted_at
        if doubted_at is None or now < doubted_at + GAP_SECONDS:
            return
        self.doubted_at = None
        while self.predictions:
            prefix, predicted = next(iter(self.predictions.items()))
            if predicted.seen_at >= doubted_at:
                break
            self.predictions.pop(prefix)

    def believes(self, prefix: int, now: float) -> bool:
        """Whether a prefix is believed to be cached."""
        predicted = self.predictions.get(prefix)
        if predicted is None:
            return False
        # Without events predictions are all there is.
        if predicted.is_fact or not self.has_events:
            return True
        return now < predicted.seen_at + PREDICTION_SECONDS

    def cached_part(self, prefixes: Sequence[int], now: float) -> float:
        """Part of the known prefixes that is cached, 0 to 1."""
        for position in range(len(prefixes), 0, -1):
            if self.believes(prefixes[position - 1], now):
                return position / len(prefixes)
        return 0
