"""Work in progress and usage over the fleet, as routers tell it."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final, TypeVar

from pollenloom.core.ids import AccountId, ServerId, ServiceId, VmId

KeyT = TypeVar('KeyT', bound=str)

# A report this old tells nothing of servers whose queues last 0.2 s.
REPORT_SECONDS: Final = 0.6


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """What one router has to do with a service.

    Attributes:
        unread: Prompt tokens sent and not known to be read, by server.
        usage: Cost served lately, by client account.
        least_waiting: Fleet usage of the least served account that has a
            request waiting; None if nothing waits.
    """

    unread: Mapping[ServerId, float] = field(default_factory=dict)
    usage: Mapping[AccountId, float] = field(default_factory=dict)
    least_waiting: float | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Report of one router; `heard_at` in monotonic seconds of the hearer."""

    heard_at: float
    loads: Mapping[ServiceId, ServiceLoad]


class LoadTable:
    """Newest report of each other router.

    Where a router hears only some of the others, what it hears stands for
    the rest in proportion.
    """

    def __init__(self) -> None:
        self.reports: dict[VmId, LoadReport] = {}

    def hear(self, router: VmId, report: LoadReport) -> None:
        """Take a report."""
        self.reports[router] = report

    def forget_old(self, heard_before: float) -> None:
        """Forget routers that have been silent."""
        silent = [
            router
            for router, report in self.reports.items()
            if report.heard_at < heard_before
        ]
        for router in silent:
            self.reports.pop(router)

    def elsewhere(
        self,
        service: ServiceId,
        routers: int,
        now: float,
    ) -> ServiceLoad:
        """Return the sum over all other routers.

        `routers` is the size of the fleet with this router.
        """
        self.forget_old(now - REPORT_SECONDS)
        loads = [
            report.loads[service]
            for report in self.reports.values()
            if service in report.loads
        ]
        if not loads:
            return ServiceLoad()
        scale = max(1, (routers - 1) / len(self.reports))
        waiting = [
            load.least_waiting
            for load in loads
            if load.least_waiting is not None
        ]
        return ServiceLoad(
            unread=add_up(loads, unread_of, scale),
            usage=add_up(loads, usage_of, scale),
            least_waiting=min(waiting, default=None),
        )


def unread_of(load: ServiceLoad) -> Mapping[ServerId, float]:
    """Return the unread tokens of a load."""
    return load.unread


def usage_of(load: ServiceLoad) -> Mapping[AccountId, float]:
    """Return the usage of a load."""
    return load.usage


def add_up(
    loads: list[ServiceLoad],
    part: Callable[[ServiceLoad], Mapping[KeyT, float]],
    scale: float,
) -> dict[KeyT, float]:
    """Add up one part of the loads, by key."""
    totals: dict[KeyT, float] = {}
    for load in loads:
        for key, amount in part(load).items():
            totals[key] = totals.get(key, 0) + amount * scale
    return totals
