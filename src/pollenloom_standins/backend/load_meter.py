"""Load reports of a backend server, with a lag."""

from typing import TYPE_CHECKING, Final

import msgspec

from pollenloom_standins.backend.backend_reports import BackendLoadReport
from pollenloom_standins.lagged_value import LaggedValue

if TYPE_CHECKING:
    from pollenloom_standins.backend.backend_settings import BackendSettings
    from pollenloom_standins.backend.capacity_model import CapacityModel
    from pollenloom_standins.backend.fencing import FencingCheck

# The largest lag of the load report that can be simulated.
RETENTION_SECONDS: Final = 60


class LoadMeter:
    """Keeps the load of the last `RETENTION_SECONDS`."""

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
        self.reports = LaggedValue(self.current(), RETENTION_SECONDS)

    def record_load(self, now: float) -> None:
        """Record the present load for later reports."""
        self.reports.put(self.current(), now)

    def report(
        self, now: float, wall: float, lag_seconds: float
    ) -> BackendLoadReport:
        """Return the load as of `lag_seconds` ago."""
        return msgspec.structs.replace(
            self.reports.with_lag(now, lag_seconds),
            cold=self.capacity.is_cold(now - lag_seconds),
            as_of=wall - lag_seconds,
        )

    def current(self) -> BackendLoadReport:
        """Return the present load, without `cold` and `as_of`."""
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
