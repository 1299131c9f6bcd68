"""Faults that the platform stand-in can inject."""

import msgspec


class PlatformFaults(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Body of `PUT /control/faults`; fields left out keep their value.

    Counts named `next_...` apply to that many next appends; -1 to all.

    Attributes:
        down: Respond with 503 to all calls; appends have no effect.
        slow_seconds: Delay before each call is handled.
        lose_answers: Fraction of appends that take effect but get no
            response.
        next_lost_answers: Count of next appends that lose the response.
        lose_appends: Fraction of appends that neither take effect nor get a
            response.
        next_lost_appends: Count of next appends that are lost.
        list_lag_seconds: Age of the VM list that is returned.
        cut_off: IP addresses of callers that get no response; their appends
            have no effect.
    """

    down: bool = False
    slow_seconds: float = 0
    lose_answers: float = 0
    next_lost_answers: int = 0
    lose_appends: float = 0
    next_lost_appends: int = 0
    list_lag_seconds: float = 0
    cut_off: tuple[str, ...] = ()
