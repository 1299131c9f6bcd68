"""Numbers of servers of one service, by data centre."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from pollenloom.core.ids import DataCentreId, ServiceId
from pollenloom.scaling.order_cause import OrderCause
from pollenloom.scaling.planned_order import PlannedOrder
from pollenloom.scaling.recent_peak import RecentPeak
from pollenloom.scaling.scaling_limits import ScalingLimits
from pollenloom.scaling.scaling_policy import ScalingPolicy
from pollenloom.scaling.server_order import ServerOrder
from pollenloom.scaling.service_demand import ServiceDemand

# Servers register some seconds after they started, and ones that crash are
# back within seconds. Fewer servers than ordered count as missing after that.
MISSING_SECONDS: Final = 5.0


@dataclass(slots=True)
class OrderedServers:
    """Servers of the service in one data centre.

    Attributes:
        ordered: Number ordered, or found if none was ordered yet.
        due_at: When all that were ordered should serve, monotonic seconds.
        missing: Servers of the order that should serve and do not. It is kept
            while others start.
        is_ordered: Whether this plan has ordered the number.
    """

    ordered: int
    due_at: float
    missing: int = 0
    is_ordered: bool = False
    recent: RecentPeak = field(
        default_factory=lambda: RecentPeak(MISSING_SECONDS)
    )

    def observe(self, count: int, now: float) -> None:
        """Take over the number of usable servers."""
        if not self.is_ordered:
            self.ordered = max(self.ordered, count)
        lacking = max(0, self.ordered - round(self.recent.observe(count, now)))
        if now < self.due_at:
            lacking = min(self.missing, lacking)
        self.missing = lacking

    @property
    def expected(self) -> int:
        """Servers that serve or still start."""
        return self.ordered - self.missing


class ScalingPlan:
    """Decides what to order for one service while one router holds the duty.

    A data centre without usable servers is out of service or cut off. Its
    order stays as it is, and the others take over its part.

    Attributes:
        service: The service.
        limits: Bounds of the number in each data centre.
        policy: Decides the number in all data centres.
        data_centres: Those where the service was seen to run.
    """

    def __init__(
        self, service: ServiceId, limits: ScalingLimits, now: float
    ) -> None:
        self.service = service
        self.limits = limits
        self.policy = ScalingPolicy(limits, now)
        self.data_centres: dict[DataCentreId, OrderedServers] = {}

    def update(self, demand: ServiceDemand, now: float) -> list[PlannedOrder]:
        """Return the orders that follow from the latest demand."""
        self.policy.observe(demand, now)
        serving = self.count_servers(demand, now)
        if not serving:
            return []
        is_settled = self.policy.is_settled(now)
        orders = self.change(serving, now)
        if orders or not is_settled:
            return orders
        return self.first_orders(serving, now)

    def count_servers(
        self, demand: ServiceDemand, now: float
    ) -> list[DataCentreId]:
        """Return the data centres with usable servers, and count these."""
        serving = []
        for name, count in sorted(demand.servers.items()):
            if count:
                serving.append(name)
                if name not in self.data_centres:
                    self.data_centres[name] = OrderedServers(count, now)
                self.data_centres[name].observe(count, now)
        return serving

    def change(
        self, serving: Sequence[DataCentreId], now: float
    ) -> list[PlannedOrder]:
        """Return the orders of numbers that change.

        Parts are even, so that the loss of any data centre takes the same part.
        The platform may still count servers that are missing, so they are
        ordered in addition.
        """
        expected = sum(self.data_centres[name].expected for name in serving)
        total = self.policy.total(expected, now)
        if total == expected:
            return []
        even, rest = divmod(total, len(serving))
        orders = []
        for position, name in enumerate(serving):
            known = self.data_centres[name]
            desired = even + int(position < rest) + known.missing
            if total > expected:
                desired = max(desired, known.ordered)
            desired = self.limits.bounded(desired)
            if desired != known.ordered:
                cause = OrderCause.IDLE_ROOM
                if desired > known.ordered:
                    cause = OrderCause.EVEN_PARTS
                if total > expected:
                    cause = OrderCause.SHORTAGE
                orders.append(self.order(name, desired, cause, now))
        return orders

    def first_orders(
        self, serving: Sequence[DataCentreId], now: float
    ) -> list[PlannedOrder]:
        """Order the numbers that were found, once.

        The last order of the holder before may have been lost, or be another
        one than this router sees in force.
        """
        return [
            self.order(
                name,
                self.limits.bounded(self.data_centres[name].ordered),
                OrderCause.HOLDER_CHANGED,
                now,
            )
            for name in serving
            if not self.data_centres[name].is_ordered
        ]

    def order(
        self, name: DataCentreId, desired: int, cause: OrderCause, now: float
    ) -> PlannedOrder:
        """Record an order and return it."""
        known = self.data_centres[name]
        before = known.ordered
        known.ordered = desired
        known.is_ordered = True
        known.due_at = now + self.limits.boot_seconds + MISSING_SECONDS
        return PlannedOrder(
            ServerOrder(self.service, name, desired),
            cause,
            before,
            self.policy.wanted,
        )
