"""Counts of the traffic between routers."""

from dataclasses import dataclass


@dataclass(slots=True)
class PeerCounters:
    """Totals since the start.

    Attributes:
        sent_frames: Frames written to connections.
        sent_bytes: Their content, without websocket headers.
        received_frames: Frames read from connections.
        received_bytes: Their content, without websocket headers.
        dropped: Messages refused because of a full queue or their size.
        rejected: Connections closed for a broken frame or a wrong key.
        undeclared: Messages that came before their type was declared.
    """

    sent_frames: int = 0
    sent_bytes: int = 0
    received_frames: int = 0
    received_bytes: int = 0
    dropped: int = 0
    rejected: int = 0
    undeclared: int = 0

    def count_sent(self, size: int) -> None:
        """Count a frame that is written."""
        self.sent_frames += 1
        self.sent_bytes += size

    def count_received(self, size: int) -> None:
        """Count a frame that was read."""
        self.received_frames += 1
        self.received_bytes += size
