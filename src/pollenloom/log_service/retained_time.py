"""Since when a reader of the log has seen all records."""

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import Offset

# Keeps a day of records in 17,280 entries of about 100 bytes.
BUCKET_SECONDS = 5


@dataclass(slots=True)
class Bucket:
    """Records of at most `BUCKET_SECONDS`, in order of offset."""

    first: 'Offset'
    last: 'Offset'
    first_at: float
    last_at: float


class RetainedTime:
    """Turns the earliest retained offset into platform time."""

    def __init__(self) -> None:
        self.buckets: deque[Bucket] = deque()
        self.earliest: Offset | None = None

    def add(self, offset: 'Offset', appended_at: float) -> None:
        """Note a record; offsets must grow."""
        if self.buckets:
            bucket = self.buckets[-1]
            if appended_at < bucket.first_at + BUCKET_SECONDS:
                bucket.last = offset
                bucket.last_at = max(bucket.last_at, appended_at)
                return
        self.buckets.append(Bucket(offset, offset, appended_at, appended_at))

    def trim(self, earliest: 'Offset') -> None:
        """Note which record is the earliest that is still retained."""
        self.earliest = earliest
        while self.buckets and self.buckets[0].last < earliest:
            self.buckets.popleft()

    def since(self) -> float | None:
        """Platform time since which no record is missing.

        Returns 0 if none was ever trimmed, None if none is retained or
        nothing was read.
        """
        if self.earliest is None:
            return None
        if self.earliest == 0:
            return 0
        if not self.buckets:
            return None
        bucket = self.buckets[0]
        if bucket.first >= self.earliest:
            return bucket.first_at
        return bucket.last_at
