"""A value that readers see with a lag."""

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

ValueT = TypeVar('ValueT')


@dataclass(frozen=True, slots=True)
class TimedValue(Generic[ValueT]):
    """A value and the time from which it applies, in seconds."""

    since: float
    value: ValueT


class LaggedValue(Generic[ValueT]):
    """Keeps the values of the last `retention_seconds`.

    The first value also applies to all earlier times.
    """

    def __init__(self, first: ValueT, retention_seconds: float) -> None:
        self.retention_seconds = retention_seconds
        self.history = deque([TimedValue(float('-inf'), first)])

    def put(self, value: ValueT, now: float) -> None:
        """Set the value that applies from `now` on."""
        self.history.append(TimedValue(now, value))
        limit = now - self.retention_seconds
        while len(self.history) > 1 and self.history[1].since <= limit:
            self.history.popleft()

    def current(self) -> ValueT:
        """Return the newest value."""
        return self.history[-1].value

    def with_lag(self, now: float, lag_seconds: float) -> ValueT:
        """Return the value that applied `lag_seconds` ago.

        If that is longer ago than the retention time, it returns the oldest
        value that is kept.
        """
        limit = now - lag_seconds
        for timed in reversed(self.history):
            if timed.since <= limit:
                return timed.value
        return self.history[0].value
