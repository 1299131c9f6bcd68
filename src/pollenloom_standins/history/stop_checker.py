"""Checks that graceful stops of routers cut no request."""

from collections.abc import Iterator
from typing import Final

from pollenloom_standins.history.call_record import CallOutcome, CallRecord
from pollenloom_standins.history.fault_record import FaultKind, FaultRecord
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker

CUT_OUTCOMES: Final = frozenset((CallOutcome.CUT, CallOutcome.LOST))


class StopChecker(PromiseChecker[History]):
    """Calls at a router that stops gracefully are completed or refused.

    A stream that ends with an error event was cut by a fault of the backend
    server, not by the stop.
    """

    requirement = 'R10'
    promise = 'a graceful shutdown cuts no request'

    def violations(self, history: History) -> Iterator[str]:
        """Return calls that were cut and stops with a nonzero exit code."""
        for stop in stops(history):
            if stop.exit_code:
                yield f'{stop.target} exited with code {stop.exit_code}'
            for call in calls_during(history, stop):
                if call.outcome in CUT_OUTCOMES and not call.error_kind:
                    yield f'{call.describe()}: cut by the stop'

    def checked(self, history: History) -> int:
        """Return the number of calls that were open during a stop."""
        return sum(
            1 for stop in stops(history) for _ in calls_during(history, stop)
        )


def stops(history: History) -> Iterator[FaultRecord]:
    """Return the graceful restarts and the stops that end the round."""
    return history.faults_of(FaultKind.ROUTER_RESTARTED)


def calls_during(
    history: History,
    stop: FaultRecord,
) -> Iterator[CallRecord]:
    """Return the calls at a router that overlap its stop."""
    return (
        call
        for call in history.calls
        if call.vm == stop.target
        and call.started < stop.ended
        and call.ended > stop.started
    )
