"""Which log reader of the fleet keeps state in the log."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from pollenloom.core.ids import DataCentreId, VmId

# Both readers of a data centre report about once in 2 s.
FRESH_SECONDS = 10.0


class UpkeepDuty:
    """Chooses the first of the readers that reach the platform."""

    def __init__(self) -> None:
        self.reported_at: dict[tuple[DataCentreId, VmId], float] = {}

    def note_report(
        self,
        data_centre: 'DataCentreId',
        reader: 'VmId',
        now: float,
    ) -> None:
        """Note that a reader has read the log."""
        self.reported_at[data_centre, reader] = now

    def is_responsible(
        self,
        own: 'VmId',
        live: 'Collection[VmId]',
        now: float,
    ) -> bool:
        """Whether `own` is the first live reader with a fresh report."""
        self.reported_at = {
            reporter: at
            for reporter, at in self.reported_at.items()
            if now - at <= FRESH_SECONDS and reporter[1] in live
        }
        return bool(self.reported_at) and min(self.reported_at)[1] == own
