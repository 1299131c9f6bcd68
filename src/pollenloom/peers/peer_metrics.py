"""Metrics of the traffic between routers."""

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from pollenloom.peers.peer_counters import PeerCounters


class PeerMetrics(Collector):
    """Exports the counters of the peer network at each scrape."""

    def __init__(self, counters: PeerCounters) -> None:
        self.counters = counters

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the present values of the counters."""
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
