"""Which VMs of a data centre read the log at a time."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pollenloom.core.ids import VmId

READERS = 2
SILENCE_SECONDS = 3.0
# VMs behind the readers start one after the other, so that the first one
# that reaches the platform keeps the rest from reading, too.
STAGGER_SECONDS = 0.25
LONGEST_STAGGER_SECONDS = 3.0
# Two readers report in turn; far below SILENCE_SECONDS, and at 5 data
# centres no more than 5 register changes a second in the fleet.
REPORT_SECONDS = 1.0


class ReadingDuty:
    """Decides whether this VM reads the log now and reports its position."""

    def __init__(self, own: 'VmId', now: float) -> None:
        self.own = own
        self.reported_at = now
        self.heard_at = now

    def note_report(self, reporter: 'VmId', now: float) -> None:
        """Note that a VM of this data centre has read the log."""
        self.reported_at = now
        if reporter != self.own:
            self.heard_at = now

    def must_read(self, ranked: 'Sequence[VmId]', now: float) -> bool:
        """Whether this VM reads now; `ranked` are the data centre's VMs."""
        if self.own in ranked[:READERS]:
            return True
        behind = len(ranked)
        if self.own in ranked:
            behind = ranked.index(self.own) - READERS
        stagger = min(behind * STAGGER_SECONDS, LONGEST_STAGGER_SECONDS)
        return now - self.heard_at > SILENCE_SECONDS + stagger

    def must_report(self, now: float) -> bool:
        """Whether the last report of the data centre is old enough."""
        return now - self.reported_at >= REPORT_SECONDS
