"""A node that is stopped finishes what it took, and ends in time."""

from collections.abc import Iterator
from typing import Final

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_fault_record import (
    NodeFaultKind,
    NodeFaultRecord,
)
from pollenloom_standins.node_soak.node_history import NodeHistory

# The balancer and open connections may bring requests for so long.
STOP_LIMIT_SECONDS: Final = 8.0


class NodeStopChecker(PromiseChecker[NodeHistory]):
    """A node that is stopped finishes what it took, and ends in time."""

    requirement = 'stop'
    promise = 'a node that is stopped finishes what it took, and ends in time'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return stops that took too long and requests that they cut."""
        for stop in history.faults:
            if stop.kind is not NodeFaultKind.NODE_STOP:
                continue
            seconds = stop.ended - stop.started
            if stop.exit_code or seconds > STOP_LIMIT_SECONDS:
                yield (
                    f'{stop.target} ended with {stop.exit_code} '
                    f'after {seconds:.1f} s'
                )
            yield from self.cut_calls(stop, history)

    def cut_calls(
        self,
        stop: NodeFaultRecord,
        history: NodeHistory,
    ) -> Iterator[str]:
        """Return calls that a server answered and whose caller got less.

        Servers that fail, vanish or stay silent cut answers as well.
        """
        answered = {run.request_id for run in history.runs if run.is_sealed}
        for call in history.calls:
            is_here = call.node == stop.target and not call.is_whole
            in_stop = stop.started <= call.started <= stop.ended
            if is_here and in_stop and call.request_id in answered:
                yield call.describe()

    def checked(self, history: NodeHistory) -> int:
        """Return the number of observations."""
        return sum(
            fault.kind is NodeFaultKind.NODE_STOP for fault in history.faults
        )
