"""How far the log has been read."""

from typing import TYPE_CHECKING, NamedTuple

from pollenloom.core.ids import Offset
from pollenloom.log_service.retained_time import RetainedTime

if TYPE_CHECKING:
    from pollenloom.log_service.log_page import LogPage, LogRecord


class NewRecords(NamedTuple):
    """What a page brings.

    Attributes:
        records: Records that were not read before.
        missed_until: Earliest retained offset if records below it were
            missed, else None.
    """

    records: 'tuple[LogRecord, ...]'
    missed_until: Offset | None


class LogCursor:
    """Position in the log; moves on with each page.

    Attributes:
        position: Offset to be read next.
        at_end: Whether the last page reached the end of the log.
        retention_seconds: How long records are kept; None before a page.
        retained: Since when no record is missing.
    """

    def __init__(self) -> None:
        self.position = Offset(0)
        self.at_end = False
        self.retention_seconds: float | None = None
        self.retained = RetainedTime()

    def advance(self, page: 'LogPage') -> NewRecords:
        """Move past a page that was read from the position on."""
        missed = page.earliest if page.earliest > self.position else None
        records = tuple(
            record for record in page.records if record.offset >= self.position
        )
        for record in records:
            self.retained.add(record.offset, record.appended_at)
            self.position = Offset(record.offset + 1)
        self.position = max(self.position, page.next)
        self.retention_seconds = page.retention_seconds
        self.retained.trim(page.earliest)
        self.at_end = self.position >= page.end
        return NewRecords(records, missed)
