"""Load that a backend server reports."""

import msgspec


class EngineLoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `GET /load`; describes the server as it was some time ago.

    Attributes:
        running: Requests in progress.
        waiting: Requests that it has taken but not begun.
        cold: Whether it is in a cold start.
        leaving: Whether it refuses new work.
        highest_fencing_number: Highest fencing number that it has seen.
        as_of: Wall time of the report, seconds since the Unix epoch; a
            report without it is taken as of the time at which it arrives.
    """

    running: int
    waiting: int = 0
    cold: bool = False
    leaving: bool = False
    highest_fencing_number: int = 0
    as_of: float | None = None

    @property
    def in_progress(self) -> int:
        """Requests that the server bears."""
        return self.running + self.waiting
