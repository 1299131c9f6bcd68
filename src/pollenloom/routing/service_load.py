"""Load of one service on one or more routers."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import hypot
from typing import Final, TypeVar

from pollenloom.core.ids import AccountId, ResponseClass, ServerId, ServiceId

# Integers up to here are exact in floating point. Sums of larger amounts could
# become infinite, and differences of these are no numbers.
MAX_AMOUNT: Final = 2**53

KeyT = TypeVar('KeyT', bound=str)
Amounts = Mapping[KeyT, float]


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of one router, or of several added up.

    Attributes:
        unread: Prompt tokens sent and not known to be read, by server.
        running: Requests sent and not ended, by server.
        usage: Recent cost that was served, by client account.
        refused: Recent cost that was refused, by client account.
        responses: Responses since a version move was ordered, by class.
        demand: Decaying count of requests that came in and were within the
            shares of their accounts, by service.
        begun: Recent cost of the requests that began to be answered, by
            service.
        answers: Decaying count of answers that began, by service.
        windows: Mean send window of a router in tokens times its weight, by
            service.
        window_weights: Weight of the router's windows, by service.
        usual_times: Milliseconds to the first byte that recent responses take
            at the usual reading speed, by server.
        taken_times: Milliseconds that these responses took, by server.
    """

    unread: Mapping[ServerId, float] = field(default_factory=dict)
    running: Mapping[ServerId, float] = field(default_factory=dict)
    usage: Mapping[AccountId, float] = field(default_factory=dict)
    refused: Mapping[AccountId, float] = field(default_factory=dict)
    responses: Mapping[ResponseClass, float] = field(default_factory=dict)
    demand: Mapping[ServiceId, float] = field(default_factory=dict)
    begun: Mapping[ServiceId, float] = field(default_factory=dict)
    answers: Mapping[ServiceId, float] = field(default_factory=dict)
    windows: Mapping[ServiceId, float] = field(default_factory=dict)
    window_weights: Mapping[ServiceId, float] = field(default_factory=dict)
    usual_times: Mapping[ServerId, float] = field(default_factory=dict)
    taken_times: Mapping[ServerId, float] = field(default_factory=dict)

    @property
    def is_valid(self) -> bool:
        """Whether all amounts are numbers with which routers can compute.

        The result of `hypot` is at least as large as each amount, and infinite
        or no number if one of them is; it is faster than a sum of `abs`.
        """
        return all(
            hypot(*amounts.values()) <= MAX_AMOUNT
            for amounts in (
                self.unread,
                self.running,
                self.usage,
                self.refused,
                self.responses,
                self.demand,
                self.begun,
                self.answers,
                self.windows,
                self.window_weights,
                self.usual_times,
                self.taken_times,
            )
        )

    def minus(self, part: 'ServiceLoad') -> 'ServiceLoad':
        """Return the load without the part of one router."""
        return ServiceLoad(
            unread=subtract(self.unread, part.unread),
            running=subtract(self.running, part.running),
            usage=subtract(self.usage, part.usage),
            refused=subtract(self.refused, part.refused),
            responses=subtract(self.responses, part.responses),
            demand=subtract_known(self.demand, part.demand),
            begun=subtract(self.begun, part.begun),
            answers=subtract(self.answers, part.answers),
            windows=subtract(self.windows, part.windows),
            window_weights=subtract(self.window_weights, part.window_weights),
            usual_times=subtract(self.usual_times, part.usual_times),
            taken_times=subtract(self.taken_times, part.taken_times),
        )

    def scaled(self, scale: float) -> 'ServiceLoad':
        """Scale the load up to more routers; scales up to 1 change nothing."""
        if scale <= 1:
            return self
        return ServiceLoad(
            unread=multiply(self.unread, scale),
            running=multiply(self.running, scale),
            usage=multiply(self.usage, scale),
            refused=multiply(self.refused, scale),
            responses=self.responses,
            demand=multiply(self.demand, scale),
            begun=multiply(self.begun, scale),
            answers=self.answers,
            windows=multiply(self.windows, scale),
            window_weights=multiply(self.window_weights, scale),
            usual_times=self.usual_times,
            taken_times=self.taken_times,
        )


def add_loads(loads: Iterable[ServiceLoad]) -> ServiceLoad:
    """Return the sum of the loads of different routers."""
    parts = tuple(loads)
    return ServiceLoad(
        unread=add_up(parts, lambda load: load.unread),
        running=add_up(parts, lambda load: load.running),
        usage=add_up(parts, lambda load: load.usage),
        refused=add_up(parts, lambda load: load.refused),
        responses=add_up(parts, lambda load: load.responses),
        demand=add_up(parts, lambda load: load.demand),
        begun=add_up(parts, lambda load: load.begun),
        answers=add_up(parts, lambda load: load.answers),
        windows=add_up(parts, lambda load: load.windows),
        window_weights=add_up(parts, lambda load: load.window_weights),
        usual_times=add_up(parts, lambda load: load.usual_times),
        taken_times=add_up(parts, lambda load: load.taken_times),
    )


def add_up(
    loads: Iterable[ServiceLoad],
    select: Callable[[ServiceLoad], Amounts[KeyT]],
) -> dict[KeyT, float]:
    """Return the sums of one field of the loads, by key."""
    totals: dict[KeyT, float] = {}
    for load in loads:
        for key, amount in select(load).items():
            totals[key] = totals.get(key, 0) + amount
    return totals


def subtract(total: Amounts[KeyT], part: Amounts[KeyT]) -> Amounts[KeyT]:
    """Return a total without one part; only amounts above zero."""
    if not part:
        return total
    remaining = {
        key: amount - part.get(key, 0) for key, amount in total.items()
    }
    return {key: amount for key, amount in remaining.items() if amount > 0}


def subtract_known(total: Amounts[KeyT], part: Amounts[KeyT]) -> Amounts[KeyT]:
    """Return a total without one part; zero where the part is all of it.

    No demand elsewhere differs from a demand that is not known.
    """
    return {
        key: max(0, amount - part.get(key, 0)) for key, amount in total.items()
    }


def multiply(amounts: Amounts[KeyT], factor: float) -> Amounts[KeyT]:
    """Return all amounts times a factor."""
    return {key: amount * factor for key, amount in amounts.items()}
