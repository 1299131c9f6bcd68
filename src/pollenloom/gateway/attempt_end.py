"""How an attempt at a backend server ended."""

from dataclasses import dataclass
from enum import Enum, unique

from pollenloom.core.failure import Failure


@unique
class AttemptState(Enum):
    """State of a request after an attempt."""

    # A whole answer was passed on.
    ANSWERED = 'answered'
    # No byte reached a server.
    UNSENT = 'unsent'
    # A server states that it did not run the request.
    REJECTED = 'rejected'
    # It may have run, and nothing was passed on.
    FAILED = 'failed'
    # It ran, and a part of the answer was passed on.
    BROKEN = 'broken'


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """State after an attempt, and why; no reason if it was answered."""

    state: AttemptState
    failure: Failure | None = None
    status: int = 0


def unanswered(
    failure: Failure,
    *,
    has_run: bool,
    is_begun: bool,
) -> AttemptEnd:
    """Return the end of an attempt without a whole answer.

    `has_run` tells whether a server may have run the request, `is_begun`
    whether a part of an answer was passed on.
    """
    if is_begun:
        return AttemptEnd(AttemptState.BROKEN, failure)
    if has_run:
        return AttemptEnd(AttemptState.FAILED, failure)
    return AttemptEnd(AttemptState.UNSENT, failure)
