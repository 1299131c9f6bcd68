"""Failure of one attempt to send a request."""

from dataclasses import dataclass

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.states import Outcome, RunStatus


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptFailure:
    """Failure of one attempt and its known effects.

    Attributes:
        kind: Kind reported to the caller if there is no further attempt.
        detail: Human-readable description.
        run: Whether the backend server ran the request.
        outcome: Outcome reported in the settlement of the grant.
        exclude_server: Whether further attempts avoid the server.
        server_cold: Whether the server reported that it is cold.
        server_leaving: Whether the server reported that it is leaving.
        server_fenced: Whether the server rejected the fencing number.
    """

    kind: ErrorKind
    detail: str
    run: RunStatus
    outcome: Outcome = Outcome.FAILED
    exclude_server: bool = True
    server_cold: bool = False
    server_leaving: bool = False
    server_fenced: bool = False
