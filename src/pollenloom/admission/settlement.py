"""Report of how a grant was used."""

from dataclasses import dataclass

from pollenloom.admission.grant import Grant
from pollenloom.core.states import Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class Settlement:
    """Report by the holder of a grant when its use has ended.

    Attributes:
        grant: The grant.
        outcome: How its use ended.
        cost: Actual cost in the unit of the resource; 0 if the request did
            not run.
        first_byte_seconds: Time from sending to the first byte of the
            response; None if there was none.
        duration_seconds: Time from sending to the end of the response, or
            until the request was cancelled; None if it was not sent.
        server_cold: Whether the server reported that it is cold.
        server_leaving: Whether the server reported that it is shutting down.
        server_fenced: Whether the server refused the fencing number.
    """

    grant: Grant
    outcome: Outcome
    cost: float = 0
    first_byte_seconds: float | None = None
    duration_seconds: float | None = None
    server_cold: bool = False
    server_leaving: bool = False
    server_fenced: bool = False
