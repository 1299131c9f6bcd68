"""Faults that the stand-ins for backend servers can inject."""

import msgspec


class BackendFaults(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Body of `PUT /control/faults`; fields left out keep their value.

    Counts named `next_...` apply to that many next requests; -1 to all.

    Attributes:
        turn_cold: Begin a cold start now; reads as false afterwards.
        cold_seconds: Duration of cold starts from now on.
        leaving: Refuse new work with the reason "leaving".
        frozen: Neither start, continue nor respond to any request.
        next_errors: Respond with 500 without running the request.
        next_late: Send the response `late_seconds` after it is ready.
        late_seconds: See `next_late`.
        next_crossed: Send the id and content of the previous response.
        next_cut: Truncate the response; streams have no `[DONE]`.
        next_died: Abort the connection: streams after `events_before`
            events, other requests after running, without a response.
        events_before: Events that a stream sends before it is truncated or
            aborted.
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
