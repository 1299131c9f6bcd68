"""Times of a planned stop."""

import math
from dataclasses import dataclass
from typing import Final, Self

# Time before the end of the drain at which running requests are ended, so that
# their last bytes are sent before the process ends.
ANSWER_MARGIN_SECONDS: Final = 0.2
# Largest part of the drain in which requests are still passed on. The last of
# them then has as much time as the load balancer had.
MAX_OPEN_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Until when requests are passed on, and when those that run are ended.

    Attributes:
        closes_at: Monotonic time in seconds after which no request is passed
            on.
        ends_at: Monotonic time in seconds at which running requests are ended.
    """

    closes_at: float = math.inf
    ends_at: float = math.inf

    @classmethod
    def from_limits(
        cls, now: float, open_seconds: float, drain_ends_at: float
    ) -> Self:
        """Return the plan of a stop that begins at monotonic time `now`.

        Args:
            now: Monotonic seconds.
            open_seconds: How long other parties still send requests here.
            drain_ends_at: Monotonic seconds at which the drain must be over.
        """
        drain_seconds = drain_ends_at - now
        return cls(
            closes_at=now + min(open_seconds, drain_seconds * MAX_OPEN_SHARE),
            ends_at=drain_ends_at - ANSWER_MARGIN_SECONDS,
        )

    def latest_send(
        self, deadline: float, longest_seconds: float | None
    ) -> float:
        """Return the last time to pass on a request, in monotonic seconds.

        A request whose response may not end in time is better refused: its
        caller may then send it to another router, even if it must not run
        twice.

        Args:
            deadline: Deadline of the request, monotonic seconds.
            longest_seconds: Duration in which requests like it were answered;
                None if it is not known.
        """
        if deadline <= self.ends_at:
            return self.closes_at
        if longest_seconds is None:
            return -math.inf
        return min(self.closes_at, self.ends_at - longest_seconds)


NO_STOP: Final = StopPlan()
