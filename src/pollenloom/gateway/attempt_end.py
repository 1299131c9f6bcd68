"""Result of an attempt to send a request to a backend server."""

from dataclasses import dataclass
from enum import Enum, unique

from pollenloom.core.failure import Failure


@unique
class AttemptState(Enum):
    """State of a request after an attempt."""

    # A complete response was relayed to the caller.
    ANSWERED = 'answered'
    # No byte was sent to a backend server.
    UNSENT = 'unsent'
    # The backend server states that it did not run the request.
    REJECTED = 'rejected'
    # The request may have run, and nothing was relayed.
    FAILED = 'failed'
    # The request ran, and only a part of the response was relayed.
    BROKEN = 'broken'


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """State after an attempt.

    Attributes:
        failure: Why there is no complete response; None if there is one.
        status: HTTP status of the backend server; 0 if it sent none.
    """

    state: AttemptState
    failure: Failure | None = None
    status: int = 0


def make_unanswered_end(
    failure: Failure,
    *,
    may_have_run: bool,
    has_started: bool,
) -> AttemptEnd:
    """Return the end of an attempt without a complete response.

    Args:
        failure: Why there is no complete response.
        may_have_run: Whether a backend server may have run the request.
        has_started: Whether a part of a response was relayed.
    """
    if has_started:
        return AttemptEnd(AttemptState.BROKEN, failure)
    if may_have_run:
        return AttemptEnd(AttemptState.FAILED, failure)
    return AttemptEnd(AttemptState.UNSENT, failure)
