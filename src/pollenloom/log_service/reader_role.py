"""Decides which VMs of a data centre read the log."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pollenloom.core.ids import VmId

READER_COUNT = 2
READER_TIMEOUT_SECONDS = 3.0
# If the log readers do not report, the other VMs take over one after the
# other, so that the first one that reaches the platform keeps the rest from
# reading as well.
FALLBACK_STAGGER_SECONDS = 0.25
MAX_FALLBACK_STAGGER_SECONDS = 3.0
# The two log readers report in turn. Far below READER_TIMEOUT_SECONDS, and with
# 5 data centres no more than 5 register changes a second in the fleet.
REPORT_INTERVAL_SECONDS = 1.0


class ReaderRole:
    """Decides whether this VM reads the log and reports its position.

    Attributes:
        reported_at: Monotonic time of the latest report of the data centre.
        remote_reported_at: Monotonic time of the latest report of another VM.
    """

    def __init__(self, local_vm: 'VmId', now: float) -> None:
        self.local_vm = local_vm
        self.reported_at = now
        self.remote_reported_at = now

    def record_report(self, reporter: 'VmId', now: float) -> None:
        """Record that a VM of this data centre has read the log."""
        self.reported_at = now
        if reporter != self.local_vm:
            self.remote_reported_at = now

    def must_read(self, ranked: 'Sequence[VmId]', now: float) -> bool:
        """Whether this VM must read now.

        `ranked` are the live VMs of the data centre, log readers first.
        """
        if self.local_vm in ranked[:READER_COUNT]:
            return True
        fallback_rank = len(ranked)
        if self.local_vm in ranked:
            fallback_rank = ranked.index(self.local_vm) - READER_COUNT
        stagger = min(
            fallback_rank * FALLBACK_STAGGER_SECONDS,
            MAX_FALLBACK_STAGGER_SECONDS,
        )
        return now - self.remote_reported_at > READER_TIMEOUT_SECONDS + stagger

    def must_report(self, now: float) -> bool:
        """Whether the latest report of the data centre is due for renewal."""
        return now - self.reported_at >= REPORT_INTERVAL_SECONDS
