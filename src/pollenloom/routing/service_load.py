"""What routers have to do with one service."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

from pollenloom.core.ids import AccountId, ServerId, VmId

KeyT = TypeVar('KeyT', bound=str)
Amounts = Mapping[KeyT, float]

# A router leaves itself out of what waits elsewhere, so one more than the
# least is needed.
LEAST_KEPT = 2


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of one router, or of several added up.

    Attributes:
        unread: Prompt tokens sent and not known to be read, by server.
        running: Requests sent and not ended, by server.
        usage: Cost served lately, by client account.
        waiting: Fleet usage of the least served account that has a request
            waiting, by router; the least ones only.
    """

    unread: Mapping[ServerId, float] = field(default_factory=dict)
    running: Mapping[ServerId, float] = field(default_factory=dict)
    usage: Mapping[AccountId, float] = field(default_factory=dict)
    waiting: Mapping[VmId, float] = field(default_factory=dict)

    @property
    def least_waiting(self) -> float | None:
        """Usage of the least served account that waits, if one does."""
        return min(self.waiting.values(), default=None)

    def minus(self, own: 'ServiceLoad', router: VmId) -> 'ServiceLoad':
        """Leave one router's part out."""
        return ServiceLoad(
            unread=subtract(self.unread, own.unread),
            running=subtract(self.running, own.running),
            usage=subtract(self.usage, own.usage),
            waiting={
                waiting: usage
                for waiting, usage in self.waiting.items()
                if waiting != router
            },
        )

    def scaled(self, scale: float) -> 'ServiceLoad':
        """Let a part of the fleet stand for all of it."""
        if scale <= 1:
            return self
        return ServiceLoad(
            unread=multiply(self.unread, scale),
            running=multiply(self.running, scale),
            usage=multiply(self.usage, scale),
            waiting=self.waiting,
        )


def add_loads(loads: Iterable[ServiceLoad]) -> ServiceLoad:
    """Add up loads of different routers."""
    parts = tuple(loads)
    waiting: dict[VmId, float] = {}
    for part in parts:
        waiting.update(part.waiting)
    least = sorted(waiting, key=waiting.__getitem__)[:LEAST_KEPT]
    return ServiceLoad(
        unread=add_up(parts, lambda load: load.unread),
        running=add_up(parts, lambda load: load.running),
        usage=add_up(parts, lambda load: load.usage),
        waiting={router: waiting[router] for router in least},
    )


def add_up(
    loads: Iterable[ServiceLoad],
    part: Callable[[ServiceLoad], Amounts[KeyT]],
) -> dict[KeyT, float]:
    """Add up one part of the loads, by key."""
    totals: dict[KeyT, float] = {}
    for load in loads:
        for key, amount in part(load).items():
            totals[key] = totals.get(key, 0) + amount
    return totals


def subtract(total: Amounts[KeyT], own: Amounts[KeyT]) -> Amounts[KeyT]:
    """Return what remains of a sum without one part."""
    if not own:
        return total
    rest = {key: amount - own.get(key, 0) for key, amount in total.items()}
    return {key: amount for key, amount in rest.items() if amount > 0}


def multiply(amounts: Amounts[KeyT], factor: float) -> Amounts[KeyT]:
    """Return all amounts times a factor."""
    return {key: amount * factor for key, amount in amounts.items()}
