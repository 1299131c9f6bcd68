"""Platform time since which a reader has seen all records of the log."""

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import Offset

# A day of records needs 17,280 buckets of about 100 bytes.
BUCKET_SECONDS = 5


@dataclass(slots=True)
class Bucket:
    """Offsets and platform times of records within `BUCKET_SECONDS`."""

    first_offset: 'Offset'
    last_offset: 'Offset'
    first_appended_at: float
    last_appended_at: float


class RetainedTime:
    """Converts the earliest retained offset to platform time."""

    def __init__(self) -> None:
        self.buckets: deque[Bucket] = deque()
        self.earliest: Offset | None = None

    def add(self, offset: 'Offset', appended_at: float) -> None:
        """Add a record; offsets must increase."""
        if self.buckets:
            bucket = self.buckets[-1]
            if appended_at < bucket.first_appended_at + BUCKET_SECONDS:
                bucket.last_offset = offset
                bucket.last_appended_at = max(
                    bucket.last_appended_at, appended_at
                )
                return
        self.buckets.append(Bucket(offset, offset, appended_at, appended_at))

    def trim(self, earliest: 'Offset') -> None:
        """Set the earliest retained offset and drop trimmed buckets."""
        self.earliest = earliest
        while self.buckets and self.buckets[0].last_offset < earliest:
            self.buckets.popleft()

    def complete_since(self) -> float | None:
        """Platform time since which no record is missing.

        Returns 0 if no record was ever trimmed, and None if nothing has been
        read or no record is retained.
        """
        if self.earliest is None:
            return None
        if self.earliest == 0:
            return 0
        if not self.buckets:
            return None
        bucket = self.buckets[0]
        if bucket.first_offset >= self.earliest:
            return bucket.first_appended_at
        return bucket.last_appended_at
