"""Limit on the rate at which this router sends to one server."""

from typing import Final

# Requests that may be sent at once after a pause, in seconds of the rate, so
# that decisions at intervals do not lower the rate.
BURST_SECONDS: Final = 0.1
# A permission that nothing has used for this long lapses: all routers of a
# large fleet could otherwise use theirs at the same moment.
LAPSE_SECONDS: Final = 0.5


class RateBucket:
    """Token bucket with at most one request and a short burst.

    Attributes:
        credit: Requests that may be sent.
        phase: Credit at the start and after a lapse, 0 to 1. It differs
            between routers, so that their turns do not coincide.
        updated_at: When the credit was last updated, monotonic seconds; None
            before the first time.
        full_since: When the credit last reached one request; None if it has
            not.
    """

    def __init__(self, phase: float) -> None:
        self.phase = phase
        self.credit = phase
        self.updated_at: float | None = None
        self.full_since: float | None = None

    def may_send(self, rate: float, now: float) -> bool:
        """Whether a request may be sent.

        Args:
            rate: Requests a second that this router may send.
            now: Monotonic seconds.
        """
        elapsed = 0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        limit = 1 + rate * BURST_SECONDS
        self.credit = min(limit, self.credit + rate * max(0, elapsed))
        if self.credit < 1:
            self.full_since = None
            return False
        if self.full_since is None:
            self.full_since = now
        elif now - self.full_since > LAPSE_SECONDS:
            self.credit = self.phase
            self.full_since = None
            return False
        return True

    def mark_sent(self) -> None:
        """Use the credit of one request."""
        self.credit -= 1
        self.full_since = None
