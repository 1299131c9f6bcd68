"""Position of a reader in the log."""

from typing import TYPE_CHECKING, NamedTuple

from pollenloom.core.ids import Offset
from pollenloom.log_service.retained_time import RetainedTime

if TYPE_CHECKING:
    from pollenloom.log_service.log_page import LogPage, LogRecord


class NewRecords(NamedTuple):
    """Records of a page that were not read before.

    Attributes:
        records: The records, in order of offset.
        missed_until: Earliest retained offset if records below it were
            trimmed before being read, else None.
    """

    records: 'tuple[LogRecord, ...]'
    missed_until: Offset | None


class LogCursor:
    """Position in the log, advanced by each page.

    Attributes:
        position: Offset to read next.
        at_end: Whether the last page reached the end of the log.
        retention_seconds: How long records are kept; None before the first
            page.
        retained_time: Platform time since which no record is missing.
    """

    def __init__(self) -> None:
        self.position = Offset(0)
        self.at_end = False
        self.retention_seconds: float | None = None
        self.retained_time = RetainedTime()

    def advance(self, page: 'LogPage') -> NewRecords:
        """Advance past a page that was read from the position."""
        missed = page.earliest if page.earliest > self.position else None
        records = tuple(
            record for record in page.records if record.offset >= self.position
        )
        for record in records:
            self.retained_time.add(record.offset, record.appended_at)
            self.position = Offset(record.offset + 1)
        self.position = max(self.position, page.next)
        self.retention_seconds = page.retention_seconds
        self.retained_time.trim(page.earliest)
        self.at_end = self.position >= page.end
        return NewRecords(records, missed)
