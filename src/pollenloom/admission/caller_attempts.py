"""Which attempt of its caller a request is, by the time that it has left.

Answers a load of callers that come back after a refusal, to any router: their
first attempt was elsewhere, so that only the request itself can tell.
"""

from abc import ABC, abstractmethod
from collections import OrderedDict
from typing import Final

from pollenloom.admission.caller_attempt import CallerAttempt
from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import AccountId, RouteId

# Callers may count the time in which they connect.
LIMIT_TOLERANCE_SECONDS: Final = 0.05
# A request is a repeat only if at least this part of the recent requests had
# the full time limit: callers repeat a request three times at most, so fewer
# means that callers have limits of their own.
MIN_FULL_PART: Final = 0.25
# Part of an observation that counts for later ones.
DECAY: Final = 0.98
# Routes of accounts that are remembered, the latest ones.
MAX_LIMITS: Final = 2000

LimitKey = tuple[AccountId, RouteId]


class CallerLimit:
    """Time limit that the callers of an account state for a route.

    Attributes:
        seconds: Longest limit of the recent requests.
        full_part: Part of the recent requests that had about this limit.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.full_part: float = 1

    def observe(self, seconds: float) -> None:
        """Record the time that a request has left."""
        if seconds > self.seconds + LIMIT_TOLERANCE_SECONDS:
            self.seconds = seconds
        is_full = seconds >= self.seconds - LIMIT_TOLERANCE_SECONDS
        self.full_part = DECAY * self.full_part + (1 - DECAY) * is_full
        if self.full_part < MIN_FULL_PART:
            # The longest limit was an exception, or callers shortened theirs.
            self.seconds = seconds
            self.full_part = 1

    def age(self, seconds: float) -> float:
        """Return the seconds since the first attempt; 0 if it is the first."""
        elapsed = self.seconds - seconds
        return elapsed if elapsed > LIMIT_TOLERANCE_SECONDS else 0


class CallerAttempts(ABC):
    """Tells repeats from first attempts."""

    @abstractmethod
    def age(self, ticket: Ticket) -> float:
        """Return the seconds since the first attempt of a request's caller.

        Args:
            ticket: A request that has just come in.
        """


class FirstAttempts(CallerAttempts):
    """Takes all requests for first attempts."""

    def age(self, ticket: Ticket) -> float:
        """Return 0."""
        return 0


class RepeatedAttempts(CallerAttempts):
    """Tells repeats by the time that their callers have left.

    A caller states how long it waits. A repeat has less time left than the
    first attempts of the same account at the same route.

    Attributes:
        limits: Time limit by account and route, the latest used last.
    """

    def __init__(self) -> None:
        self.limits: OrderedDict[LimitKey, CallerLimit] = OrderedDict()

    def age(self, ticket: Ticket) -> float:
        """Return the seconds since the first attempt; see `CallerAttempts`."""
        key = (ticket.account, ticket.route)
        seconds = ticket.time_limit
        if ticket.retry or not seconds:
            return 0
        limit = self.limits.get(key)
        if limit is None:
            limit = CallerLimit(seconds)
            self.limits[key] = limit
            if len(self.limits) > MAX_LIMITS:
                self.limits.popitem(last=False)
        else:
            self.limits.move_to_end(key)
            limit.observe(seconds)
        return limit.age(seconds)


def classify_attempt(age: float, shortest_return: float) -> CallerAttempt:
    """Return which attempt a request is.

    Args:
        age: Seconds since the first attempt of its caller.
        shortest_return: Seconds after which a refused caller returns at least.
    """
    if not age:
        return CallerAttempt.FIRST
    if age < shortest_return:
        return CallerAttempt.EARLY
    return CallerAttempt.RETURNED
