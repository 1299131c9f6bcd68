"""Checks that a leaving backend server gets no new requests."""

from collections.abc import Iterator
from typing import Final

from pollenloom_standins.history.fault_record import FaultKind, FaultRecord
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker

LEAVING_LIMIT_SECONDS: Final = 3.0


class LeavingBackendChecker(PromiseChecker[History]):
    """A server starts no run and gets no request 3 s after it began to leave.

    If the VM list shows the server as leaving, the lag of the list is added to
    the 3 s. Requests that the server refused as leaving after this time are
    violations as well, since another server could have handled them at once.
    """

    requirement = 'R9'
    promise = 'a leaving server gets no new work after 3 s and the list lag'

    def violations(self, history: History) -> Iterator[str]:
        """Return runs and refused requests that came too late."""
        for leaving in leaving_faults(history):
            start = (
                leaving.started
                + LEAVING_LIMIT_SECONDS
                + leaving.list_lag_seconds
            )
            for run in history.runs:
                if (
                    run.server == leaving.target
                    and start < run.run.started < leaving.ended
                ):
                    late = run.run.started - leaving.started
                    yield (
                        f'{run.server} began {run.run.request_id} '
                        f'{late:.2f} s after it began to leave'
                    )
            refused = refused_after(history, leaving, start)
            if refused:
                yield f'{leaving.target} refused {refused} late requests'

    def checked(self, history: History) -> int:
        """Return the number of servers that were leaving beyond the limit."""
        return sum(
            leaving.ended - leaving.started
            > LEAVING_LIMIT_SECONDS + leaving.list_lag_seconds
            for leaving in leaving_faults(history)
        )


def leaving_faults(history: History) -> Iterator[FaultRecord]:
    """Return the faults in which a server was leaving."""
    return history.faults_of(
        FaultKind.BACKEND_LEAVING,
        FaultKind.BACKEND_LEAVING_UNLISTED,
    )


def refused_after(history: History, leaving: FaultRecord, start: float) -> int:
    """Return how many requests a leaving server refused after a time."""
    counts = [
        sample.refused_leaving
        for sample in history.servers
        if sample.server == leaving.target and start < sample.at < leaving.ended
    ]
    return max(counts) - min(counts) if counts else 0
