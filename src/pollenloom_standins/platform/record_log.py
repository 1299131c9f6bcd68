"""Append-only log with a retention time."""

from collections import deque
from itertools import islice

from pollenloom.core.ids import Offset
from pollenloom.log_service.log_page import LogPage, LogRecord


class RecordLog:
    """Keeps records in memory for `retention_seconds`."""

    def __init__(self, retention_seconds: float) -> None:
        self.retention_seconds = retention_seconds
        self.records: deque[LogRecord] = deque()
        self.end = 0

    def append(self, payload: bytes, wall: float) -> Offset:
        """Add a record and return its offset."""
        self.expire(wall)
        offset = Offset(self.end)
        self.records.append(
            LogRecord(offset=offset, appended_at=wall, payload=payload),
        )
        self.end += 1
        return offset

    def read(self, start: int, limit: int, wall: float) -> LogPage:
        """Return at most `limit` records from `start` on.

        If `start` has expired, the page starts at the earliest record.
        """
        self.expire(wall)
        earliest = self.end - len(self.records)
        first = min(max(start, earliest), self.end)
        last = min(first + limit, self.end)
        return LogPage(
            records=tuple(
                islice(self.records, first - earliest, last - earliest),
            ),
            earliest=Offset(earliest),
            next=Offset(last),
            end=Offset(self.end),
            retention_seconds=self.retention_seconds,
        )

    def expire(self, wall: float) -> None:
        """Drop records older than the retention time."""
        limit = wall - self.retention_seconds
        while self.records and self.records[0].appended_at < limit:
            self.records.popleft()
