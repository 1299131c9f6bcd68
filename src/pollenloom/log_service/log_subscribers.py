"""Dispatches log records to the services that subscribed to them."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from absl import logging

from pollenloom.core.ids import Offset
from pollenloom.log_service.log_entry import LogEntry, decode_entry
from pollenloom.log_service.log_page import LogRecord

Handler = Callable[[Offset, float, Any], None]


class LogSubscribers:
    """Handlers by record type, and listeners for gaps in the log."""

    def __init__(self) -> None:
        self.handlers: defaultdict[type[LogEntry], list[Handler]]
        self.handlers = defaultdict(list)
        self.gap_listeners: list[Callable[[Offset], None]] = []

    def dispatch(self, record: LogRecord) -> None:
        """Decode a record and call the handlers of its type."""
        entry = decode_entry(record.payload)
        if entry is None:
            return
        for handler in self.handlers.get(type(entry), ()):
            try:
                handler(record.offset, record.appended_at, entry)
            except Exception:
                # An exception of one handler must not stop the others.
                logging.exception('log_handler_failed %s', record.offset)

    def notify_gap(self, earliest: Offset) -> None:
        """Notify listeners that records below `earliest` were missed."""
        for listener in self.gap_listeners:
            listener(earliest)
