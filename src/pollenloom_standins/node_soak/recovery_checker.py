"""When nothing is wrong any more, callers are served."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import Final

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_history import NodeHistory

MIN_SERVED_SHARE: Final = 0.95


class RecoveryChecker(PromiseChecker[NodeHistory]):
    """When nothing is wrong any more, callers are served."""

    requirement = 'served'
    promise = 'when nothing is wrong any more, callers are served'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return whether too few calls of the last seconds were served."""
        end = max((fault.recovered for fault in history.faults), default=0)
        calls = [
            call
            for call in history.calls
            if call.started > end + 1 and call.ended
        ]
        served = sum(call.status == HTTPStatus.OK for call in calls)
        if served < MIN_SERVED_SHARE * len(calls) or not calls:
            yield f'{served} of {len(calls)} calls after the last fault'

    def checked(self, history: NodeHistory) -> int:
        """Return the number of observations."""
        return len(history.calls)
