"""Reports of the stand-ins for backend servers."""

import msgspec

from pollenloom_standins.backend.refusals import RefusalReason
from pollenloom_standins.backend.run_history import RunRecord


class BackendLoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `GET /load`, as of `as_of`.

    Attributes:
        running: Requests in progress, at most `slots`.
        waiting: Requests in progress beyond `slots`.
        highest_fencing_number: Highest fencing number received.
        leaving: Whether the server refuses new work.
        version: Version that the server runs.
        slots: Requests in progress that it can handle when warm.
        cold_slots: Requests in progress that it can handle when cold.
        cold: Whether the server is in a cold start.
        as_of: Wall time to which the report applies, seconds since the Unix
            epoch.
    """

    running: int
    waiting: int
    highest_fencing_number: int
    leaving: bool
    version: str
    slots: int
    cold_slots: int
    cold: bool = False
    as_of: float = 0


class StateReport(msgspec.Struct, frozen=True, kw_only=True):
    """Response to `GET /control/state`, without lag.

    Attributes:
        load: Present load.
        runs: Recorded runs, the latest 200,000 at most.
        peak_running: Highest number of requests in progress at a time.
        peak_running_cold: The same, counted during cold starts.
        cold_overloads: Requests beyond the cold slots that were not refused.
        refusals: Requests refused, by reason.
    """

    load: BackendLoadReport
    runs: int
    peak_running: int
    peak_running_cold: int
    cold_overloads: int
    refusals: dict[RefusalReason, int]


class HistoryReport(msgspec.Struct, frozen=True):
    """Response to `GET /control/history`."""

    runs: tuple[RunRecord, ...]


class CancelReport(msgspec.Struct, frozen=True):
    """Response to `POST /cancel/<request id>`.

    Attributes:
        cancelled: Runs that were cancelled.
    """

    cancelled: int
