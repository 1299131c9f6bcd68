"""A leaving server gets nothing new after two seconds."""

from collections.abc import Iterator
from typing import Final

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_history import (
    CATCH_UP_SECONDS,
    NodeHistory,
)

LEAVING_LIMIT_SECONDS: Final = 2.0


class NodeDrainChecker(PromiseChecker[NodeHistory]):
    """A leaving server gets nothing new after two seconds."""

    requirement = 'drain'
    promise = 'a leaving server gets nothing new after two seconds'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return requests that came too late."""
        nodes = {call.request_id: call.node for call in history.calls}
        for leaving in history.leaving:
            due = leaving.at + LEAVING_LIMIT_SECONDS
            for run in history.runs:
                node = nodes.get(run.request_id, '')
                is_late = run.server == leaving.subject and run.at > due
                if is_late and not history.is_disturbed(
                    node,
                    leaving.at - CATCH_UP_SECONDS,
                    run.at,
                ):
                    yield (
                        f'{run.request_id} came to {run.server} '
                        f'{run.at - leaving.at:.2f} s after its leaving'
                    )

    def checked(self, history: NodeHistory) -> int:
        """Return the number of observations."""
        return len(history.leaving)
