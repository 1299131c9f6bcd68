"""Reads the configuration from the log for a publisher."""

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
# Orders fill most of the log. A first window of some seconds at full rate
# finds recent changes; each further one is four times as long.
FIRST_WINDOW = 4096
WINDOW_GROWTH = 4


class HistoryReader:
    """Follows the log from the latest snapshot on.

    Attributes:
        history: What the records say.
        data_centres: Latest states of data centres.
        cursor: How far they have been read.
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
        answer = await self.platform.read(Offset(0), 1)
        if answer.is_error():
            return Error(answer.error)
        page = answer.ok
        window = FIRST_WINDOW
        while True:
            start = max(page.earliest, Offset(page.end - window))
            read = await self.read_from(start)
            if read.is_error() or self.history.complete:
                return read
            if start == page.earliest:
                return read
            window *= WINDOW_GROWTH

    async def read_from(self, start: Offset) -> Result[None, Failure]:
        """Start again at an offset and read to the end."""
        self.history = ChangeHistory()
        self.history.miss(start)
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
            before = self.cursor.position
            answer = await self.platform.read(before, PAGE_RECORDS)
            if answer.is_error():
                return Error(answer.error)
            self.take_page(answer.ok)
            progress = self.cursor.position > before
            progress = progress and not self.cursor.at_end
        return Ok(None)

    def take_page(self, page: LogPage) -> None:
        """Apply the records of a page."""
        news = self.cursor.advance(page)
        if news.missed_until is not None:
            self.history.miss(news.missed_until)
        for record in news.records:
            self.take_record(record)

    def take_record(self, record: LogRecord) -> None:
        """Apply a record if it is one of the configuration."""
        entry = decode_entry(record.payload)
        if isinstance(entry, DataCentreChange):
            self.take_data_centre(entry)
        if isinstance(entry, ConfigurationSnapshot):
            for change in entry.data_centres:
                self.take_data_centre(change)
        if isinstance(entry, ConfigurationChange | ConfigurationSnapshot):
            self.history.apply(record.offset, record.appended_at, entry)

    def take_data_centre(self, change: DataCentreChange) -> None:
        """Keep a state unless a later one is known."""
        known = self.data_centres.get(change.data_centre)
        version = (change.counter, change.origin)
        if known is None or version > (known.counter, known.origin):
            self.data_centres[change.data_centre] = change
