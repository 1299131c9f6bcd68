"""Records with keys, as the platform's store holds them."""

from dataclasses import dataclass

from pollenloom.core.ids import NO_ERA, Offset, StoreEra


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a topic.

    Attributes:
        payload: Value of the key; empty if the key was removed.
        offset: Position of the record in the topic.
    """

    key: str
    payload: bytes
    offset: Offset


@dataclass(frozen=True, slots=True)
class Listing:
    """The newest record of each key, or of those that changed.

    Attributes:
        next_offset: Offset at which the next read starts.
        is_gap: Whether the store dropped records before they were read; then
            `records` is empty and all keys must be read again.
        era: Era of the store that gave the offsets.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: Offset
    is_gap: bool = False
    era: StoreEra = NO_ERA
