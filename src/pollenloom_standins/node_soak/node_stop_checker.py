"""Checks that a graceful stop of a node cuts no request."""

from collections.abc import Iterator
from typing import Final

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_fault_record import (
    NodeFaultKind,
    NodeFaultRecord,
)
from pollenloom_standins.node_soak.node_history import NodeHistory

# Longest stop; the load balancer and open connections may still bring requests
# during it.
STOP_LIMIT_SECONDS: Final = 8.0


class NodeStopChecker(PromiseChecker[NodeHistory]):
    """A stopping node completes the requests in progress and exits in time."""

    requirement = 'stop'
    promise = 'a stopping node completes its requests and exits in time'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return stops that took too long and requests that they cut."""
        for stop in history.faults:
            if stop.kind is not NodeFaultKind.NODE_STOP:
                continue
            seconds = stop.ended - stop.started
            if stop.exit_code or seconds > STOP_LIMIT_SECONDS:
                yield (
                    f'{stop.target} exited with code {stop.exit_code} '
                    f'after {seconds:.1f} s'
                )
            yield from self.cut_calls(stop, history)

    def cut_calls(
        self,
        stop: NodeFaultRecord,
        history: NodeHistory,
    ) -> Iterator[str]:
        """Return incomplete calls to which a server sent a complete response.

        Other incomplete calls do not count, since a server that fails, crashes
        or does not respond cuts them as well.
        """
        completed = {run.request_id for run in history.runs if run.is_sealed}
        for call in history.calls:
            is_cut = call.node == stop.target and not call.is_whole
            is_during_stop = stop.started <= call.started <= stop.ended
            if is_cut and is_during_stop and call.request_id in completed:
                yield call.describe()

    def checked(self, history: NodeHistory) -> int:
        """Return the number of graceful stops."""
        return sum(
            fault.kind is NodeFaultKind.NODE_STOP for fault in history.faults
        )
