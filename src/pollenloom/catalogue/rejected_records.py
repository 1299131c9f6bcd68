"""Log lines about records of the store that are not used."""

from typing import Final

from absl import logging

from pollenloom.observability.line_budget import LineBudget

# Records that are remembered, so that each is logged once. At this number all
# are forgotten, and some are logged again. They take less than half a megabyte.
MAX_REMEMBERED: Final = 500
# A writer that leaves many odd records is noticed from these.
LINES_PER_SECOND: Final = 20


class RejectedRecords:
    """Logs each record once with its fault, and counts all.

    A faulty writer may repeat a record several times a second with another
    content and the same fault, so that the content does not matter.

    Attributes:
        event_name: First word of the log lines.
        count: Number of records rejected so far, also of those not logged.
        logged: Keys and faults of the records that were logged.
    """

    def __init__(self, event_name: str) -> None:
        self.event_name = event_name
        self.budget = LineBudget(LINES_PER_SECOND)
        self.count = 0
        self.logged: set[tuple[str, str]] = set()

    def add(self, key: str, detail: str, now: float) -> None:
        """Count a record, and log it unless its fault was logged before.

        Args:
            key: Key of the record.
            detail: Its fault, of bounded length.
            now: Monotonic seconds.
        """
        self.count += 1
        fault = (key, detail)
        if fault in self.logged or not self.budget.may_write(now):
            return
        if len(self.logged) >= MAX_REMEMBERED:
            self.logged.clear()
        self.logged.add(fault)
        logging.warning(
            '%s key %r: %s; %d so far', self.event_name, key, detail, self.count
        )
