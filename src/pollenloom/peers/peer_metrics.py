"""Counts of the traffic between routers as metrics."""

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from pollenloom.peers.peer_counters import PeerCounters


class PeerMetrics(Collector):
    """Reads the counts when the metrics are asked for."""

    def __init__(self, counters: PeerCounters) -> None:
        self.counters = counters

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the counts of this moment."""
        counters = self.counters
        for name, help_text, number in (
            ('sent_frames', 'Frames sent to routers.', counters.sent_frames),
            ('sent_bytes', 'Bytes sent to routers.', counters.sent_bytes),
            (
                'received_frames',
                'Frames received from routers.',
                counters.received_frames,
            ),
            (
                'received_bytes',
                'Bytes received from routers.',
                counters.received_bytes,
            ),
            (
                'dropped',
                'Messages to routers that were dropped.',
                counters.dropped,
            ),
        ):
            yield CounterMetricFamily(
                f'pollenloom_peer_{name}',
                help_text,
                number,
            )
