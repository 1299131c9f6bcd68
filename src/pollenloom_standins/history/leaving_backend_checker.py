"""A leaving backend server gets no new work."""

from collections.abc import Iterator
from typing import Final

from pollenloom_standins.history.fault_record import FaultKind, FaultRecord
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker

LEAVING_LIMIT_SECONDS: Final = 3.0


class LeavingBackendChecker(PromiseChecker[History]):
    """No run starts and no request arrives from 3 s on, plus the list's lag.

    A server that refuses by itself counts what it refused, since a request
    sent to it is work that another server could have done at once. The
    time does not depend on the list then.
    """

    requirement = 'R9'
    promise = 'a leaving server gets no new work after 3 s and the list lag'

    def violations(self, history: History) -> Iterator[str]:
        """Return runs and refused requests that came too late."""
        for leave in leavings(history):
            start = (
                leave.started + LEAVING_LIMIT_SECONDS + leave.list_lag_seconds
            )
            for run in history.runs:
                if (
                    run.server == leave.target
                    and start < run.run.started < leave.ended
                ):
                    late = run.run.started - leave.started
                    yield (
                        f'{run.server} began {run.run.request_id} '
                        f'{late:.2f} s after it was listed as leaving'
                    )
            refused = refused_after(history, leave, start)
            if refused:
                yield f'{leave.target} refused {refused} late requests'

    def checked(self, history: History) -> int:
        """Return the number of leaving servers observed long enough."""
        return sum(
            leave.ended - leave.started
            > LEAVING_LIMIT_SECONDS + leave.list_lag_seconds
            for leave in leavings(history)
        )


def leavings(history: History) -> Iterator[FaultRecord]:
    """Return the times in which servers were leaving."""
    return history.faults_of(
        FaultKind.BACKEND_LEAVING,
        FaultKind.BACKEND_LEAVING_UNLISTED,
    )


def refused_after(history: History, leave: FaultRecord, start: float) -> int:
    """Return how many requests a leaving server refused after a time."""
    counts = [
        sample.refused_leaving
        for sample in history.servers
        if sample.server == leave.target and start < sample.at < leave.ended
    ]
    return max(counts) - min(counts) if counts else 0
