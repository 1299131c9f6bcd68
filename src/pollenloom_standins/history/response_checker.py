"""Callers get the whole answer to their own request."""

from collections.abc import Iterator
from typing import Final

from pollenloom_standins.history.call_record import CallOutcome, CallRecord
from pollenloom_standins.history.fault_record import FaultKind
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker

INVALID_OUTCOMES: Final = frozenset((CallOutcome.WRONG, CallOutcome.SHORT))
# A call at a router that is killed or frozen may end without an answer.
ROUTER_LOSS_FAULTS: Final = (
    FaultKind.ROUTER_KILLED,
    FaultKind.OWNER_KILLED,
    FaultKind.READER_KILLED,
    FaultKind.ROUTER_FROZEN,
    FaultKind.OWNER_FROZEN,
    FaultKind.READER_FROZEN,
)


class ResponseChecker(PromiseChecker[History]):
    """No answer looks whole and is not the expected one.

    A router that was not killed or frozen also gives each call an answer.
    """

    requirement = 'R6'
    promise = 'every answer is whole and the own one, or marked as an error'

    def violations(self, history: History) -> Iterator[str]:
        """Return wrong, silently cut and missing answers."""
        for call in history.calls:
            if call.outcome in INVALID_OUTCOMES:
                yield f'{call.describe()}: {call.answer!r}'
            elif call.outcome is CallOutcome.LOST and not is_explained_by_fault(
                history,
                call,
            ):
                yield f'{call.describe()}: no answer'

    def checked(self, history: History) -> int:
        """Return the number of answers that were compared."""
        return sum(
            call.outcome is CallOutcome.WHOLE
            or call.outcome in INVALID_OUTCOMES
            for call in history.calls
        )


def is_explained_by_fault(history: History, call: CallRecord) -> bool:
    """Whether the router's own fault explains a missing answer."""
    return history.had_fault(
        ROUTER_LOSS_FAULTS,
        call.started,
        call.ended,
        call.vm,
    )
