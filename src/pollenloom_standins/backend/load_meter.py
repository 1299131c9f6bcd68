"""Reports the load of a backend server with a lag."""

from typing import TYPE_CHECKING, Final

import msgspec

from pollenloom_standins.backend.backend_reports import BackendLoadReport
from pollenloom_standins.lagged_value import LaggedValue

if TYPE_CHECKING:
    from pollenloom_standins.backend.backend_settings import BackendSettings
    from pollenloom_standins.backend.capacity_model import CapacityModel
    from pollenloom_standins.backend.fencing import FencingCheck

# Bounds the lag of the load report that can be set.
KEPT_SECONDS: Final = 60


class LoadMeter:
    """Keeps the load of the last minute."""

    def __init__(
        self,
        settings: 'BackendSettings',
        capacity: 'CapacityModel',
        fencing: 'FencingCheck',
    ) -> None:
        self.settings = settings
        self.capacity = capacity
        self.fencing = fencing
        self.leaving = False
        self.reports = LaggedValue(self.current(), KEPT_SECONDS)

    def note(self, now: float) -> None:
        """Keep the present load for later reports."""
        self.reports.put(self.current(), now)

    def report(
        self, now: float, wall: float, lag_seconds: float
    ) -> BackendLoadReport:
        """Return the load of `lag_seconds` ago."""
        return msgspec.structs.replace(
            self.reports.seen(now, lag_seconds),
            cold=self.capacity.is_cold(now - lag_seconds),
            as_of=wall - lag_seconds,
        )

    def current(self) -> BackendLoadReport:
        """Return the load of this moment, without times."""
        limits = self.settings.limits
        running = min(self.capacity.running, limits.slots)
        return BackendLoadReport(
            running=running,
            waiting=self.capacity.running - running,
            highest_fencing_number=self.fencing.highest,
            leaving=self.leaving,
            version=self.settings.version,
            slots=limits.slots,
            cold_slots=limits.cold_slots,
        )
