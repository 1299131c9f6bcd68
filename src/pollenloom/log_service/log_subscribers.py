"""Hands records of the log to the services that asked for them."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from absl import logging

from pollenloom.core.ids import Offset
from pollenloom.log_service.log_entry import LogEntry, decode_entry
from pollenloom.log_service.log_page import LogRecord

Handler = Callable[[Offset, float, Any], None]


class LogSubscribers:
    """Handlers by type of record, and listeners for gaps."""

    def __init__(self) -> None:
        self.handlers: defaultdict[type[LogEntry], list[Handler]]
        self.handlers = defaultdict(list)
        self.gap_listeners: list[Callable[[Offset], None]] = []

    def hand_out(self, record: LogRecord) -> None:
        """Pass a record to the handlers of its type."""
        entry = decode_entry(record.payload)
        if entry is None:
            return
        for handler in self.handlers.get(type(entry), ()):
            try:
                handler(record.offset, record.appended_at, entry)
            except Exception:
                # One subscriber's fault must not stop the others.
                logging.exception('log_handler_failed %s', record.offset)

    def tell_gap(self, earliest: Offset) -> None:
        """Tell that records below `earliest` were missed."""
        for listener in self.gap_listeners:
            listener(earliest)
