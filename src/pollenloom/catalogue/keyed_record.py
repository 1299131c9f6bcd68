"""Records of the platform's store by key."""

from dataclasses import dataclass

from pollenloom.core.ids import Offset


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a topic.

    Attributes:
        payload: Empty if the key was removed.
    """

    key: str
    payload: bytes
    offset: Offset


@dataclass(frozen=True, slots=True)
class Listing:
    """The newest record of each key, or of those that changed.

    Attributes:
        next_offset: Where to read on.
        is_gap: Whether records were dropped before they were read; then
            `records` is empty and the listing of all keys must be read.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: Offset
    is_gap: bool = False
