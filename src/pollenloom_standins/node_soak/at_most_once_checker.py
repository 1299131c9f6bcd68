"""Checks that requests that may not be repeated run at most once."""

from collections import Counter
from collections.abc import Iterator

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_history import NodeHistory


class AtMostOnceChecker(PromiseChecker[NodeHistory]):
    """Requests that may not be repeated run at most once.

    No server runs a request that no caller sent.
    """

    requirement = 'once'
    promise = 'a request that may not be repeated runs at most once'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return requests that ran more than once or were never sent."""
        kinds = {call.request_id: call.kind for call in history.calls}
        counts = Counter(run.request_id for run in history.runs if run.is_run)
        for request_id, count in counts.items():
            kind = kinds.get(request_id)
            if kind is None:
                yield f'{request_id} ran, but no caller sent it'
            elif count > 1 and not kind.is_repeatable:
                yield f'{request_id} {kind.value} ran {count} times'

    def checked(self, history: NodeHistory) -> int:
        """Return the number of runs."""
        return sum(run.is_run for run in history.runs)
