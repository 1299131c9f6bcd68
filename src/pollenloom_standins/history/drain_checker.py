"""Checks that a data centre out of service gets no new requests."""

from collections.abc import Iterator
from typing import Final

from pollenloom_standins.history.fault_record import FaultKind, FaultRecord
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker

DRAIN_LIMIT_SECONDS: Final = 3.0


class DrainChecker(PromiseChecker[History]):
    """No run starts later than 3 s after the drain command."""

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
                        f'{run.run.request_id} {late:.2f} s after the command'
                    )

    def checked(self, history: History) -> int:
        """Return the number of runs in any data centre while one is drained."""
        return sum(
            drain.started + DRAIN_LIMIT_SECONDS < run.run.started < drain.ended
            for drain in drains(history)
            for run in history.runs
        )


def drains(history: History) -> Iterator[FaultRecord]:
    """Return the drains of the round."""
    return history.faults_of(FaultKind.DATA_CENTRE_DRAINED)
