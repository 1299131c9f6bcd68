"""Faults of the platform stand-in."""

import msgspec


class PlatformFaults(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Body of `PUT /control/faults`; fields left out keep their value.

    Counts named `next_...` hit that many next appends; -1 hits all.

    Attributes:
        down: Answer 503 to all calls; appends are not taken.
        slow_seconds: Wait before each call is handled.
        lose_answers: Fraction of appends that take effect without an answer.
        next_lost_answers: Count of next appends that lose the answer.
        lose_appends: Fraction of appends that neither take effect nor get an
            answer.
        next_lost_appends: Count of next appends that are lost.
        list_lag_seconds: Age of the VM list that is shown.
        cut_off: IP numbers of callers that get no answer; their appends are
            not taken.
    """

    down: bool = False
    slow_seconds: float = 0
    lose_answers: float = 0
    next_lost_answers: int = 0
    lose_appends: float = 0
    next_lost_appends: int = 0
    list_lag_seconds: float = 0
    cut_off: tuple[str, ...] = ()
