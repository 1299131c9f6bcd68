"""Changes of an engine's prefix cache."""

from enum import Enum, unique
from typing import Annotated, Final

import msgspec

# Numbers of events have 64 bits.
MAX_SEQUENCE: Final = 2**63 - 1
Sequence = Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]


@unique
class CacheEventKind(Enum):
    """How the cached prefixes changed."""

    STORED = 'stored'
    EVICTED = 'evicted'


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change of the prefix cache.

    Attributes:
        sequence: Number of the event; lost events leave gaps.
        kind: Whether the prefixes were stored or evicted.
        hashes: 64-bit hashes of the prefixes.
    """

    sequence: Sequence
    kind: CacheEventKind
    hashes: tuple[int, ...]


class CacheEventPage(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `GET /cache-events?from=n`.

    Attributes:
        events: Events from `n` on.
        next: Number to request next; below `n` after a restart of the engine.
    """

    events: tuple[CacheEvent, ...]
    next: Sequence
