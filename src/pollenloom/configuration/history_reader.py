"""Reads the configuration in force from the log."""

from expression import Error, Ok, Result

from pollenloom.configuration.change_history import ChangeHistory
from pollenloom.configuration.log_entries import (
    ConfigurationChange,
    ConfigurationSnapshot,
    DataCentreChange,
)
from pollenloom.core.failure import Failure
from pollenloom.core.ids import DataCentreId, Offset
from pollenloom.log_service.log_cursor import LogCursor
from pollenloom.log_service.log_entry import decode_entry
from pollenloom.log_service.log_page import LogPage, LogRecord
from pollenloom.log_service.platform import Platform

PAGE_RECORDS = 1000
# Most records are orders. The first window covers the last seconds of the log
# at full rate and finds recent changes; each further window is four times as
# long.
FIRST_WINDOW_RECORDS = 4096
WINDOW_GROWTH_FACTOR = 4


class HistoryReader:
    """Reads the log from a recent snapshot to the end.

    Attributes:
        history: Configuration according to the records that were read.
        data_centres: Latest states of data centres.
        cursor: Position up to which the log has been read.
    """

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.history = ChangeHistory()
        self.data_centres: dict[DataCentreId, DataCentreChange] = {}
        self.cursor = LogCursor()

    async def open(self) -> Result[None, Failure]:
        """Find the configuration in force without reading the whole log.

        Errors:
            PLATFORM_UNAVAILABLE
        """
        result = await self.platform.read(Offset(0), 1)
        if result.is_error():
            return Error(result.error)
        page = result.ok
        window = FIRST_WINDOW_RECORDS
        while True:
            start = max(page.earliest, Offset(page.end - window))
            read = await self.read_from(start)
            if read.is_error() or self.history.complete:
                return read
            if start == page.earliest:
                return read
            window *= WINDOW_GROWTH_FACTOR

    async def read_from(self, start: Offset) -> Result[None, Failure]:
        """Reset the state, then read from an offset to the end.

        Errors:
            PLATFORM_UNAVAILABLE
        """
        self.history = ChangeHistory()
        self.history.mark_gap(start)
        self.cursor = LogCursor()
        self.cursor.position = start
        return await self.read_to_end()

    async def read_to_end(self) -> Result[None, Failure]:
        """Apply all records that were not read before.

        Errors:
            PLATFORM_UNAVAILABLE
        """
        progress = True
        while progress:
            previous_position = self.cursor.position
            result = await self.platform.read(
                previous_position,
                PAGE_RECORDS,
            )
            if result.is_error():
                return Error(result.error)
            self.apply_page(result.ok)
            progress = self.cursor.position > previous_position
            progress = progress and not self.cursor.at_end
        return Ok(None)

    def apply_page(self, page: LogPage) -> None:
        """Apply the records of a page."""
        new_records = self.cursor.advance(page)
        if new_records.missed_until is not None:
            self.history.mark_gap(new_records.missed_until)
        for record in new_records.records:
            self.apply_record(record)

    def apply_record(self, record: LogRecord) -> None:
        """Apply a record if it is part of the configuration."""
        entry = decode_entry(record.payload)
        if isinstance(entry, DataCentreChange):
            self.apply_data_centre(entry)
        if isinstance(entry, ConfigurationSnapshot):
            for change in entry.data_centres:
                self.apply_data_centre(change)
        if isinstance(entry, ConfigurationChange | ConfigurationSnapshot):
            self.history.apply(record.offset, record.appended_at, entry)

    def apply_data_centre(self, change: DataCentreChange) -> None:
        """Store a data centre state unless a later version is known."""
        latest = self.data_centres.get(change.data_centre)
        version = (change.counter, change.origin)
        if latest is None or version > (latest.counter, latest.origin):
            self.data_centres[change.data_centre] = change
