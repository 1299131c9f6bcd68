"""Load that a backend server reports."""

from typing import Annotated, Final

import msgspec

# Integers up to here are exact in floating point and in JSON of any program.
MAX_COUNT: Final = 2**53
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class EngineLoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `GET /load`; describes the server at an earlier time.

    Attributes:
        running: Requests in progress.
        waiting: Requests that it has accepted but not started.
        cold: Whether it is in a cold start.
        leaving: Whether it refuses new requests.
        highest_fencing_number: Highest fencing number that it has received.
        as_of: Wall time of the report, seconds since the Unix epoch; a
            report without it is dated to the start of the poll.
    """

    running: Count
    waiting: Count = 0
    cold: bool = False
    leaving: bool = False
    highest_fencing_number: Count = 0
    as_of: float | None = None

    @property
    def in_progress(self) -> int:
        """Requests that the server has running or waiting."""
        return self.running + self.waiting
