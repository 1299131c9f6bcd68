"""A data centre out of service gets no new work."""

from collections.abc import Iterator
from typing import Final

from pollenloom_standins.history.fault_record import FaultKind, FaultRecord
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker

DRAIN_LIMIT_SECONDS: Final = 3.0


class DrainChecker(PromiseChecker[History]):
    """No run starts there from 3 s after the operator's order on."""

    requirement = 'R4'
    promise = 'a data centre out of service gets no new work after 3 s'

    def violations(self, history: History) -> Iterator[str]:
        """Return runs that started too late."""
        for drain in drains(history):
            for run in history.runs:
                late = run.run.started - drain.started
                if (
                    run.data_centre == drain.target
                    and late > DRAIN_LIMIT_SECONDS
                    and run.run.started < drain.ended
                ):
                    yield (
                        f'{run.server} in {drain.target} began '
                        f'{run.run.request_id} {late:.2f} s after the order'
                    )

    def checked(self, history: History) -> int:
        """Return the number of runs that went elsewhere meanwhile."""
        return sum(
            drain.started + DRAIN_LIMIT_SECONDS < run.run.started < drain.ended
            for drain in drains(history)
            for run in history.runs
        )


def drains(history: History) -> Iterator[FaultRecord]:
    """Return the times out of service."""
    return history.faults_of(FaultKind.DATA_CENTRE_DRAINED)
