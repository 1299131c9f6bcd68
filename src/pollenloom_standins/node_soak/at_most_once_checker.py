"""What may not be repeated runs once."""

from collections import Counter
from collections.abc import Iterator

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_history import NodeHistory


class AtMostOnceChecker(PromiseChecker[NodeHistory]):
    """What may not be repeated runs once."""

    requirement = 'once'
    promise = 'what may not be repeated runs once'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return requests that ran twice."""
        kinds = {call.request_id: call.kind for call in history.calls}
        counts = Counter(run.request_id for run in history.runs if run.is_run)
        for request_id, count in counts.items():
            kind = kinds.get(request_id)
            if kind is None:
                yield f'{request_id} was run, but nobody sent it'
            elif count > 1 and not kind.is_repeatable:
                yield f'{request_id} {kind.value} ran {count} times'

    def checked(self, history: NodeHistory) -> int:
        """Return the number of observations."""
        return sum(run.is_run for run in history.runs)
