"""One topic of the keyed store."""

from dataclasses import dataclass, field
from typing import Self

from pollenloom.catalogue.keyed_record import KeyedRecord
from pollenloom.core.ids import Offset


@dataclass(slots=True)
class KeyedTopic:
    """Records of one topic.

    Attributes:
        records: Retained records in the order of their offsets.
        first: Offset of the first retained record.
        newest: Newest record by key; kept when the history is dropped.
    """

    records: list[KeyedRecord] = field(default_factory=list)
    first: int = 0
    newest: dict[str, KeyedRecord] = field(default_factory=dict)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: str, payload: bytes) -> Offset:
        """Append a record; an empty payload removes the key."""
        record = KeyedRecord(key, payload, Offset(self.end))
        self.records.append(record)
        if payload:
            self.newest[key] = record
        else:
            self.newest.pop(key, None)
        return record.offset

    def read(self, start: int) -> list[KeyedRecord] | None:
        """Return records from an offset on; None if it has not all of them."""
        if not self.first <= start <= self.end:
            return None
        return self.records[start - self.first :]

    def since(self, offset: int) -> list[KeyedRecord]:
        """Return the retained records from an offset on."""
        return self.records[max(0, offset - self.first) :]

    def copy(self) -> Self:
        """Return a copy that later records do not change."""
        return type(self)(list(self.records), self.first, dict(self.newest))

    def drop_history(self) -> None:
        """Drop all records, but keep the newest one of each key."""
        self.first = self.end
        self.records.clear()
