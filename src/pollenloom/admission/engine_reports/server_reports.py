"""Load reports of one backend server."""

from collections import deque
from typing import Final

from pollenloom.admission.engine_reports.engine_load_report import (
    EngineLoadReport,
)

# A single response may be late; two consecutive misses are not by chance.
MISSED_UNTIL_UNREACHABLE: Final = 2
# An older count of requests says nothing about the current load.
LOAD_VALID_SECONDS: Final = 3.0
# Counts that are already older than this on arrival are ignored.
MAX_LOAD_LAG_SECONDS: Final = 2.0
# Polls are one second apart, so the kept peaks cover the longest lag.
IN_FLIGHT_PEAKS: Final = 3


class ServerReports:
    """Keeps the newest load report and counts the polls missed since.

    Attributes:
        latest: Newest report; None before the first.
        measured_at: Monotonic time that it describes, in seconds.
        received_at: Monotonic time at which it arrived, in seconds.
        missed: Polls without a response since the last response.
        restarts: Number of times that the server lost its fencing number.
        in_flight_peaks: Highest count of requests in flight from known
            routers, for each of the latest periods between reports.
    """

    def __init__(self) -> None:
        self.latest: EngineLoadReport | None = None
        self.measured_at = float('-inf')
        self.received_at = float('-inf')
        self.missed = 0
        self.restarts = 0
        self.in_flight_peaks = deque([0], maxlen=IN_FLIGHT_PEAKS)

    @property
    def leaving(self) -> bool:
        """Whether the server refuses new requests."""
        return self.latest is not None and self.latest.leaving

    @property
    def unreachable(self) -> bool:
        """Whether the server does not respond to polls."""
        return self.missed >= MISSED_UNTIL_UNREACHABLE

    def apply(
        self, report: EngineLoadReport, measured_at: float, now: float
    ) -> bool:
        """Record a report; return False if a newer one is known already."""
        self.missed = 0
        if measured_at < self.measured_at:
            return False
        before = self.latest
        if before is not None and (
            report.highest_fencing_number < before.highest_fencing_number
        ):
            self.restarts += 1
        self.latest = report
        self.measured_at = measured_at
        self.received_at = now
        return True

    def miss(self) -> None:
        """Count a poll without a response."""
        self.missed += 1

    def record_in_flight(self, in_flight: int) -> None:
        """Record a rise of the requests in flight from known routers."""
        self.in_flight_peaks[-1] = max(self.in_flight_peaks[-1], in_flight)

    def begin_period(self, in_flight: int) -> None:
        """Start the period until the next report."""
        self.in_flight_peaks.append(in_flight)

    def unaccounted_requests(self, now: float) -> int:
        """Requests in progress that no known router accounts for.

        The report is compared with the highest count of recent periods: it
        is late, and requests of known routers may have ended since.
        """
        if self.latest is None or now - self.received_at > LOAD_VALID_SECONDS:
            return 0
        if self.received_at - self.measured_at > MAX_LOAD_LAG_SECONDS:
            return 0
        return max(0, self.latest.in_progress - max(self.in_flight_peaks))
