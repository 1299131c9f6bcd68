"""Checks that callers are served after the last fault."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import Final

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_history import NodeHistory

MIN_SERVED_SHARE: Final = 0.95


class RecoveryChecker(PromiseChecker[NodeHistory]):
    """At least 95 % of the calls after the last fault are served."""

    requirement = 'served'
    promise = 'callers are served after the last fault'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return a line if too few calls after the last fault were served.

        Calls count from 1 s after the last recovery on.
        """
        end = max((fault.recovered for fault in history.faults), default=0)
        calls = [
            call
            for call in history.calls
            if call.started > end + 1 and call.ended
        ]
        served = sum(call.status == HTTPStatus.OK for call in calls)
        if served < MIN_SERVED_SHARE * len(calls) or not calls:
            yield f'{served} of {len(calls)} calls served after the last fault'

    def checked(self, history: NodeHistory) -> int:
        """Return the number of calls in the whole round."""
        return len(history.calls)
