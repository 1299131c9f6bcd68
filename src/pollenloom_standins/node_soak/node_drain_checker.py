"""Checks that a leaving server gets no new requests after 2 s."""

from collections.abc import Iterator

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_history import (
    IN_FORCE_SECONDS,
    NodeHistory,
)


class NodeDrainChecker(PromiseChecker[NodeHistory]):
    """A leaving server gets no new requests after two seconds.

    Requests from nodes that a fault kept from learning of it are allowed.
    """

    requirement = 'drain'
    promise = 'a leaving server gets no new requests after two seconds'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return requests that arrived too late."""
        nodes = {call.request_id: call.node for call in history.calls}
        for leaving in history.leaving:
            due = leaving.at + IN_FORCE_SECONDS
            for run in history.runs:
                node = nodes.get(run.request_id, '')
                is_late = run.server == leaving.subject and run.at > due
                if is_late and not history.is_excused(node, leaving.at, run.at):
                    yield (
                        f'{run.request_id} arrived at {run.server} '
                        f'{run.at - leaving.at:.2f} s after its announcement'
                    )

    def checked(self, history: NodeHistory) -> int:
        """Return the number of servers that left."""
        return len(history.leaving)
