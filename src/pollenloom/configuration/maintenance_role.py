"""Selection of the log reader that appends states for the fleet."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from pollenloom.core.ids import DataCentreId, VmId

# Each of the two log readers of a data centre reports about every 2 s.
REPORT_LIFETIME_SECONDS = 10.0


class MaintenanceRole:
    """Selects the first log reader that reaches the platform.

    Attributes:
        reported_at: Monotonic time of the latest report by data centre and
            log reader.
    """

    def __init__(self) -> None:
        self.reported_at: dict[tuple[DataCentreId, VmId], float] = {}

    def record_report(
        self,
        data_centre: 'DataCentreId',
        reader: 'VmId',
        now: float,
    ) -> None:
        """Record that a log reader has read the log."""
        self.reported_at[data_centre, reader] = now

    def is_responsible(
        self,
        local_vm: 'VmId',
        live: 'Collection[VmId]',
        now: float,
    ) -> bool:
        """Whether `local_vm` is the first live reader with a recent report."""
        self.reported_at = {
            reporter: reported_at
            for reporter, reported_at in self.reported_at.items()
            if now - reported_at <= REPORT_LIFETIME_SECONDS
            and reporter[1] in live
        }
        return bool(self.reported_at) and min(self.reported_at)[1] == local_vm
