"""Reporting of the peer network: listeners, event records, counters."""

from typing import TYPE_CHECKING

from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.metrics_source import MetricsSource
from pollenloom.peers.peer_counters import PeerCounters
from pollenloom.peers.peer_metrics import PeerMetrics

if TYPE_CHECKING:
    from websockets.exceptions import ConnectionClosed

    from pollenloom.core.ids import VmId
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.peers.observable_peer_network import LinkEvent, LinkListener

# Close codes with which the websocket library rejects invalid input:
# protocol error, invalid data, message too big.
FAULT_CLOSE_CODES = frozenset((1002, 1007, 1009))


class PeerReporter:
    """Reports events and traffic of connections to the rest of the router."""

    def __init__(self, kernel: 'Kernel') -> None:
        self.kernel = kernel
        self.counters = PeerCounters()
        self.listeners: list[LinkListener] = []

    def publish_metrics(self) -> None:
        """Register the counters with the metrics service, if there is one."""
        source: object = self.kernel.services.get(KernelServiceName.METRICS)
        if isinstance(source, MetricsSource):
            source.registry.register(PeerMetrics(self.counters))

    def notify(self, vm: 'VmId', event: 'LinkEvent') -> None:
        """Notify the listeners of a change of a connection."""
        for listener in self.listeners:
            listener(vm, event)

    def record_rejection(self, peer: str, reason: str) -> None:
        """Record that a connection is closed because of invalid input."""
        self.counters.rejected += 1
        events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        events.record('peer_rejected', peer, reason=reason)

    def record_close(self, vm: 'VmId', closed: 'ConnectionClosed') -> None:
        """Record a rejection if invalid input closed the connection."""
        if closed.sent is None or closed.rcvd_then_sent:
            return
        if closed.sent.code in FAULT_CLOSE_CODES:
            self.record_rejection(vm, closed.sent.reason or 'invalid frame')
