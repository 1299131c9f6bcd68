"""Prediction of the prefixes that an engine has cached."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from pollenloom.admission.engine_reports.cache_event import (
    CacheEvent,
    CacheEventKind,
    CacheEventPage,
)

# Roughly the number of prefixes in an engine's cache; 0.4 MB per server.
MAX_PREFIXES: Final = 2048
# Time for the `stored` event of a granted request to arrive, since events
# arrive several seconds late.
PREDICTION_VALIDITY_SECONDS: Final = 30.0
# Prefixes in use are predicted again within this time after a gap, so a lost
# event removes only predictions that nothing renews.
GAP_RECOVERY_SECONDS: Final = 10.0


@dataclass(slots=True)
class PredictedPrefix:
    """Why a prefix is predicted to be cached.

    Attributes:
        seen_at: Monotonic seconds of the latest grant or event with it.
        is_confirmed: Whether a `stored` event reported it.
    """

    seen_at: float
    is_confirmed: bool


class PrefixCachePredictor:
    """Predicts the cache from this owner's grants and from cache events.

    Attributes:
        limit: Most predictions that are kept.
        predictions: Prefixes predicted to be cached, least recently seen
            first.
        next_sequence: Number of the next event to request.
        has_events: Whether the engine reports events.
        gap_at: When events were first found missing, monotonic seconds; None
            once the predictions were corrected for it.
    """

    def __init__(self, limit: int = MAX_PREFIXES) -> None:
        self.limit = limit
        self.predictions: OrderedDict[int, PredictedPrefix] = OrderedDict()
        self.next_sequence = 0
        self.has_events = False
        self.gap_at: float | None = None

    def predict(self, prefixes: Sequence[int], now: float) -> None:
        """Predict that the prefixes of a granted request become cached."""
        for prefix in prefixes:
            known = self.predictions.get(prefix)
            self.record(
                prefix,
                now,
                is_confirmed=known is not None and known.is_confirmed,
            )
        self.expire(now)

    def apply_page(self, page: CacheEventPage, now: float) -> None:
        """Apply a page of events requested from `next_sequence` on."""
        for event in page.events:
            self.observe(event, now)
        if page.next < self.next_sequence:
            self.restart(page.next)
        self.skip_to(page.next, now)
        self.expire(now)

    def observe(self, event: CacheEvent, now: float) -> None:
        """Apply one event.

        A lower number than expected means that the engine was restarted.
        """
        if event.sequence < self.next_sequence:
            self.restart(event.sequence)
        self.skip_to(event.sequence, now)
        self.next_sequence = event.sequence + 1
        self.has_events = True
        for prefix in event.hashes:
            if event.kind is CacheEventKind.STORED:
                self.record(prefix, now, is_confirmed=True)
            else:
                self.predictions.pop(prefix, None)

    def skip_to(self, sequence: int, now: float) -> None:
        """Record a gap if events before a number are missing."""
        if sequence > self.next_sequence and self.gap_at is None:
            self.gap_at = now
        self.next_sequence = max(self.next_sequence, sequence)

    def record(self, prefix: int, now: float, *, is_confirmed: bool) -> None:
        """Record a prefix as the latest; drop the oldest above the limit.

        Enforcing the limit here also bounds events with many hashes.
        """
        self.predictions[prefix] = PredictedPrefix(now, is_confirmed)
        self.predictions.move_to_end(prefix)
        if len(self.predictions) > self.limit:
            self.predictions.popitem(last=False)

    def restart(self, next_sequence: int = 0) -> None:
        """Drop all predictions: a restarted engine has an empty cache."""
        self.predictions.clear()
        self.next_sequence = next_sequence
        self.gap_at = None

    def expire(self, now: float) -> None:
        """Drop predictions not renewed within the recovery time of a gap."""
        gap_at = self.gap_at
        if gap_at is None or now < gap_at + GAP_RECOVERY_SECONDS:
            return
        self.gap_at = None
        while self.predictions:
            prefix, predicted = next(iter(self.predictions.items()))
            if predicted.seen_at >= gap_at:
                break
            self.predictions.pop(prefix)

    def is_cached(self, prefix: int, now: float) -> bool:
        """Whether a prefix is predicted to be cached."""
        predicted = self.predictions.get(prefix)
        if predicted is None:
            return False
        # An engine without events never confirms a prediction.
        if predicted.is_confirmed or not self.has_events:
            return True
        return now < predicted.seen_at + PREDICTION_VALIDITY_SECONDS

    def cached_fraction(self, prefixes: Sequence[int], now: float) -> float:
        """Return the predicted cached fraction of the prefixes, 0 to 1."""
        for position in range(len(prefixes), 0, -1):
            if self.is_cached(prefixes[position - 1], now):
                return position / len(prefixes)
        return 0
