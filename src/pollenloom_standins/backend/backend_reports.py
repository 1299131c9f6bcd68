"""Reports of the stand-ins for backend servers."""

import msgspec

from pollenloom_standins.backend.refusals import RefusalReason
from pollenloom_standins.backend.run_history import RunRecord


class BackendLoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to `GET /load`, some time old.

    Attributes:
        running: Requests in progress, at most `slots`.
        waiting: Requests in progress above `slots`.
        highest_fencing_number: Highest fencing number seen.
        leaving: Whether it refuses new work.
        version: Version that it runs.
        slots: Requests it bears when warm.
        cold_slots: Requests it bears when cold.
        cold: Whether the server is in a cold start.
        as_of: Wall time of the report, seconds since the Unix epoch.
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
    """Answer to `GET /control/state`, of this moment.

    Attributes:
        load: Load without lag.
        runs: Requests that ran since the start.
        peak_running: Most requests in progress at a time.
        peak_running_cold: The same while cold.
        cold_overloads: Requests above the cold slots that were not refused.
        refusals: Requests refused, by reason.
    """

    load: BackendLoadReport
    runs: int
    peak_running: int
    peak_running_cold: int
    cold_overloads: int
    refusals: dict[RefusalReason, int]


class HistoryReport(msgspec.Struct, frozen=True):
    """Answer to `GET /control/history`."""

    runs: tuple[RunRecord, ...]


class CancelReport(msgspec.Struct, frozen=True):
    """Answer to `POST /cancel/<request id>`.

    Attributes:
        cancelled: Runs that were cancelled.
    """

    cancelled: int
