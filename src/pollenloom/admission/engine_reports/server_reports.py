"""Conclusions from the load reports of one backend server."""

from collections import deque
from typing import Final

from pollenloom.admission.engine_reports.engine_load_report import (
    EngineLoadReport,
)

# One answer may be late; two missing ones in a row are not by chance.
MISSED_TO_BE_SILENT: Final = 2
# An older count of requests says nothing about the load now.
LOAD_VALID_SECONDS: Final = 3.0
LOAD_LAG_SECONDS: Final = 2.0
# Polls are a second apart, so that the peaks cover the longest lag.
PEAKS_KEPT: Final = 3


class ServerReports:
    """Keeps the newest load report, and how many were missed since.

    Attributes:
        latest: Newest report.
        at: When it was right, monotonic seconds.
        missed: Polls without an answer since the last one with an answer.
        restarts: Times that the server lost its fencing number.
    """

    def __init__(self) -> None:
        self.latest: EngineLoadReport | None = None
        self.at = float('-inf')
        self.taken_at = float('-inf')
        self.missed = 0
        self.restarts = 0
        self.peaks = deque([0], maxlen=PEAKS_KEPT)

    @property
    def leaving(self) -> bool:
        """Whether the server refuses new work."""
        return self.latest is not None and self.latest.leaving

    @property
    def silent(self) -> bool:
        """Whether the server does not answer polls."""
        return self.missed >= MISSED_TO_BE_SILENT

    def take(self, report: EngineLoadReport, at: float, now: float) -> bool:
        """Take a report; return whether it is newer than the one before."""
        self.missed = 0
        if at < self.at:
            return False
        before = self.latest
        if before is not None and (
            report.highest_fencing_number < before.highest_fencing_number
        ):
            self.restarts += 1
        self.latest = report
        self.at = at
        self.taken_at = now
        return True

    def miss(self) -> None:
        """Count a poll without an answer."""
        self.missed += 1

    def note_in_flight(self, in_flight: int) -> None:
        """Note a rise of the own count."""
        self.peaks[-1] = max(self.peaks[-1], in_flight)

    def begin_period(self, in_flight: int) -> None:
        """Begin the time until the next report."""
        self.peaks.append(in_flight)

    def foreign(self, now: float) -> int:
        """Requests in progress that no known router accounts for.

        Compared with the highest own count of the last polls, since the
        report is late and the own requests may have ended since.
        """
        if self.latest is None or now - self.taken_at > LOAD_VALID_SECONDS:
            return 0
        if self.taken_at - self.at > LOAD_LAG_SECONDS:
            return 0
        return max(0, self.latest.in_progress - max(self.peaks))
