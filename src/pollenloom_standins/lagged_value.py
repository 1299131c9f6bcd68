"""A value that readers see late."""

from collections import deque
from dataclasses import dataclass
from typing import Generic, TypeVar

ValueT = TypeVar('ValueT')


@dataclass(frozen=True, slots=True)
class TimedValue(Generic[ValueT]):
    """A value and the time from which it is right."""

    since: float
    value: ValueT


class LaggedValue(Generic[ValueT]):
    """Keeps the values of the last `kept_seconds`."""

    def __init__(self, first: ValueT, kept_seconds: float) -> None:
        self.kept_seconds = kept_seconds
        self.history = deque([TimedValue(float('-inf'), first)])

    def put(self, value: ValueT, now: float) -> None:
        """Set the value from `now` on."""
        self.history.append(TimedValue(now, value))
        limit = now - self.kept_seconds
        while len(self.history) > 1 and self.history[1].since <= limit:
            self.history.popleft()

    def current(self) -> ValueT:
        """Return the newest value."""
        return self.history[-1].value

    def seen(self, now: float, lag_seconds: float) -> ValueT:
        """Return the value that was right `lag_seconds` ago."""
        limit = now - lag_seconds
        for timed in reversed(self.history):
            if timed.since <= limit:
                return timed.value
        return self.history[0].value
