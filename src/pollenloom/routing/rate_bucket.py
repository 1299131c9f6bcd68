"""Limit on the rate at which this router sends to one server."""

from dataclasses import dataclass
from typing import Final

# Requests that may be sent at once after a pause, in seconds of the rate, so
# that decisions at intervals do not lower the rate.
BURST_SECONDS: Final = 0.1
# A permission that nothing has used for this long lapses: all routers of a
# large fleet could otherwise use theirs at the same moment.
LAPSE_SECONDS: Final = 0.5
# A permission that requests within their shares leave for this long is idle.
IDLE_SECONDS: Final = 0.2


@dataclass(frozen=True, slots=True)
class RateQuota:
    """Part of a server's limit that one router may use.

    Attributes:
        rate: Requests a second.
        phase: Credit at the start and after a lapse, 0 to 1. It differs
            between routers, so that their turns do not coincide.
    """

    rate: float
    phase: float


class RateBucket:
    """Token bucket that holds one request and a short burst.

    Attributes:
        credit: Requests that may be sent; None before the first use.
        updated_at: When the credit was last updated, monotonic seconds.
        full_since: When the credit last reached one request; None if it has
            not.
    """

    def __init__(self) -> None:
        self.credit: float | None = None
        self.updated_at: float = 0
        self.full_since: float | None = None

    def may_send(self, quota: RateQuota, now: float) -> bool:
        """Whether a request may be sent at `now`, monotonic seconds."""
        credit = quota.phase
        if self.credit is not None:
            elapsed = max(0, now - self.updated_at)
            limit = 1 + quota.rate * BURST_SECONDS
            credit = min(limit, self.credit + quota.rate * elapsed)
        self.updated_at = now
        if credit < 1:
            self.full_since = None
        elif self.full_since is None:
            self.full_since = now
        elif now - self.full_since > LAPSE_SECONDS:
            credit = quota.phase
            self.full_since = None
        self.credit = credit
        return credit >= 1

    def is_idle(self, now: float) -> bool:
        """Whether nothing has used the credit for a while."""
        return (
            self.full_since is not None
            and now - self.full_since >= IDLE_SECONDS
        )

    def mark_sent(self) -> None:
        """Use the credit of one request."""
        self.credit = (self.credit or 0) - 1
        self.full_since = None
