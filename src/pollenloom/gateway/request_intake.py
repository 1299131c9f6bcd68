"""Bound on the time that new requests take in one turn of the event loop."""

from typing import Final

# Requests that begin in one iteration of the event loop delay each other, and
# the parts of all streams, by the sum of their processor time. This is half of
# the delay at which a router is overloaded.
TURN_SECONDS: Final = 0.03
# A request that is refused after this wait can be tried at another router
# within an objective of 0.3 s. Longer than the delay at which a router is
# overloaded, so that waiting requests make it unready.
LONGEST_WAIT_SECONDS: Final = 0.1


class RequestIntake:
    """Decides which requests begin in an iteration of the event loop.

    Attributes:
        turn_started_at: When the first request of this iteration began,
            monotonic seconds; None if none did yet.
        longest_wait: Longest wait of a request since it was last taken,
            seconds.
    """

    def __init__(self) -> None:
        self.turn_started_at: float | None = None
        self.longest_wait: float = 0

    def begin_turn(self, now: float) -> None:
        """Record that the first request of an iteration begins."""
        self.turn_started_at = now

    def end_turn(self) -> None:
        """Record that the iteration ended."""
        self.turn_started_at = None

    def may_begin(self, now: float) -> bool:
        """Whether one more request may begin in this iteration."""
        started_at = self.turn_started_at
        return started_at is None or now - started_at < TURN_SECONDS

    def is_too_late(self, received_at: float, now: float) -> bool:
        """Whether a request that has not begun waited for too long."""
        wait = now - received_at
        self.longest_wait = max(self.longest_wait, wait)
        return wait > LONGEST_WAIT_SECONDS

    def take_longest_wait(self) -> float:
        """Return the longest wait since the last call, seconds."""
        longest = self.longest_wait
        self.longest_wait = 0
        return longest
