"""Faults to inject into one response."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """Faults of one request; `BackendFaults` describes them.

    Attributes:
        fails: Respond with 500 without running.
        late_seconds: Delay of the response; 0 for none.
        crossed: Send the id and content of the previous response.
        cut: Truncate the response.
        dies: Abort the connection.
        events_before: Events that a stream sends before `cut` or `aborted`.
    """

    fails: bool
    late_seconds: float
    crossed: bool
    cut: bool
    aborted: bool
    events_before: int
