"""Checks that callers get the complete response to their request."""

from collections.abc import Iterator
from typing import Final

from pollenloom_standins.history.call_record import CallOutcome, CallRecord
from pollenloom_standins.history.fault_record import FaultKind
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker

INVALID_OUTCOMES: Final = frozenset(
    (CallOutcome.UNEXPECTED, CallOutcome.TRUNCATED)
)
# A call at a router that is killed or frozen may end without a response.
ROUTER_LOSS_FAULTS: Final = (
    FaultKind.ROUTER_KILLED,
    FaultKind.OWNER_KILLED,
    FaultKind.READER_KILLED,
    FaultKind.ROUTER_FROZEN,
    FaultKind.OWNER_FROZEN,
    FaultKind.READER_FROZEN,
)


class ResponseChecker(PromiseChecker[History]):
    """Each response that looks complete is the expected one.

    Each call gets a response unless its router was killed or frozen.
    """

    requirement = 'R6'
    promise = 'every response is complete and correct, or marked as an error'

    def violations(self, history: History) -> Iterator[str]:
        """Return unexpected, truncated and missing responses."""
        for call in history.calls:
            if call.outcome in INVALID_OUTCOMES:
                yield f'{call.describe()}: {call.answer!r}'
            elif call.outcome is CallOutcome.LOST and not is_explained_by_fault(
                history,
                call,
            ):
                yield f'{call.describe()}: no response'

    def checked(self, history: History) -> int:
        """Return the number of responses that were compared."""
        return sum(
            call.outcome is CallOutcome.COMPLETE
            or call.outcome in INVALID_OUTCOMES
            for call in history.calls
        )


def is_explained_by_fault(history: History, call: CallRecord) -> bool:
    """Whether a fault of the router explains a missing response."""
    return history.had_fault(
        ROUTER_LOSS_FAULTS,
        call.started,
        call.ended,
        call.vm,
    )
