"""Metrics of the orders of servers."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge

from pollenloom.scaling.planned_order import PlannedOrder

BY_SUBJECT: Final = ('service', 'data_centre')


class ScalingMetrics:
    """Servers that this router ordered, and its calls for them."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.orders = Counter(
            'pollenloom_server_orders',
            'Accepted orders of a number of servers, by cause.',
            (*BY_SUBJECT, 'cause'),
            registry=registry,
        )
        self.failures = Counter(
            'pollenloom_server_order_failures',
            'Calls with an order of servers that failed, by error kind.',
            ('error_kind',),
            registry=registry,
        )
        self.servers = Gauge(
            'pollenloom_servers_ordered',
            'Servers last ordered by this router; only the holder orders.',
            BY_SUBJECT,
            registry=registry,
        )

    def accepted(self, planned: PlannedOrder) -> None:
        """Count an order that the platform accepted."""
        order = planned.order
        subject = (order.service, order.data_centre)
        self.orders.labels(*subject, planned.cause.value).inc()
        self.servers.labels(*subject).set(order.desired)

    def holder_lost(self) -> None:
        """Remove the numbers of servers, which another router orders now."""
        self.servers.clear()
