"""Faults of the stand-ins for backend servers."""

import msgspec


class BackendFaults(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Body of `PUT /control/faults`; fields left out keep their value.

    Counts named `next_...` hit that many next requests; -1 hits all.

    Attributes:
        turn_cold: Start a cold start now; reads as false afterwards.
        cold_seconds: Length of cold starts from now on.
        leaving: Refuse new work with the reason "leaving".
        frozen: Neither start, go on with nor answer anything.
        next_errors: Answer 500 without running.
        next_late: Send the answer `late_seconds` after it is ready.
        late_seconds: See `next_late`.
        next_crossed: Answer with the id and content of the request before.
        next_cut: End the answer early; streams have no `[DONE]`.
        next_died: Abort the connection: streams after some events, other
            answers after running.
        events_before: Events that a stream sends before it is cut or dies.
        load_lag_seconds: Age of the load report.
    """

    turn_cold: bool = False
    cold_seconds: float = 0
    leaving: bool = False
    frozen: bool = False
    next_errors: int = 0
    next_late: int = 0
    late_seconds: float = 0
    next_crossed: int = 0
    next_cut: int = 0
    next_died: int = 0
    events_before: int = 3
    load_lag_seconds: float = 0.5
