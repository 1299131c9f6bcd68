"""Counters of the traffic between routers."""

from dataclasses import dataclass


@dataclass(slots=True)
class PeerCounters:
    """Totals since the start of the process.

    Attributes:
        sent_frames: Frames written to connections.
        sent_bytes: Their content, without websocket headers.
        received_frames: Frames read from connections.
        received_bytes: Their content, without websocket headers.
        dropped: Messages not queued because of a full queue or their size.
        rejected: Connections closed for an invalid frame, handshake or VM id.
        unregistered: Messages received before a service registered their type.
    """

    sent_frames: int = 0
    sent_bytes: int = 0
    received_frames: int = 0
    received_bytes: int = 0
    dropped: int = 0
    rejected: int = 0
    unregistered: int = 0

    def count_sent(self, size: int) -> None:
        """Count a sent frame of `size` bytes."""
        self.sent_frames += 1
        self.sent_bytes += size

    def count_received(self, size: int) -> None:
        """Count a received frame of `size` bytes."""
        self.received_frames += 1
        self.received_bytes += size
