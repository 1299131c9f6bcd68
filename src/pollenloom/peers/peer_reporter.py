"""Reports of the peer network: listeners, event records and counts."""

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
    from pollenloom.peers.peer_links import LinkEvent, LinkListener

# Close codes with which the library ends a connection itself: protocol
# error, invalid data, message too big.
FAULT_CODES = frozenset((1002, 1007, 1009))


class PeerReporter:
    """Tells the rest of the router what happens on connections."""

    def __init__(self, kernel: 'Kernel') -> None:
        self.kernel = kernel
        self.counters = PeerCounters()
        self.listeners: list[LinkListener] = []

    def publish_metrics(self) -> None:
        """Show the counts among the metrics of the process, if it has any."""
        source: object = self.kernel.services.get(KernelServiceName.METRICS)
        if isinstance(source, MetricsSource):
            source.registry.register(PeerMetrics(self.counters))

    def notify(self, vm: 'VmId', event: 'LinkEvent') -> None:
        """Tell the listeners about a connection."""
        for listener in self.listeners:
            listener(vm, event)

    def reject(self, peer: str, reason: str) -> None:
        """Record that a connection is closed because of what came in."""
        self.counters.rejected += 1
        events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        events.record('peer_rejected', peer, reason=reason)

    def closed(self, vm: 'VmId', closed: 'ConnectionClosed') -> None:
        """Record the end of a connection if broken input was its cause."""
        if closed.sent is None or closed.rcvd_then_sent:
            return
        if closed.sent.code in FAULT_CODES:
            self.reject(vm, closed.sent.reason or 'broken frame')
