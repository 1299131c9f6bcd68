"""An answer that looks whole is the server's own whole answer."""

from collections.abc import Iterator
from http import HTTPStatus

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_call import NodeCall
from pollenloom_standins.node_soak.node_history import NodeHistory
from pollenloom_standins.node_soak.soak_backend import EVENT_COUNT, make_event


class CompleteResponseChecker(PromiseChecker[NodeHistory]):
    """An answer that looks whole is the server's own whole answer."""

    requirement = 'whole'
    promise = "an answer that looks whole is the server's own whole answer"

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return answers that are another's, or not whole."""
        servers: dict[str, set[str]] = {}
        for run in history.runs:
            servers.setdefault(run.request_id, set()).add(run.server)
        for call in history.calls:
            if call.status != HTTPStatus.OK or not call.is_whole:
                continue
            if call.body not in expected_bodies(call, servers):
                yield f'{call.describe()} {call.body[-60:]!r}'

    def checked(self, history: NodeHistory) -> int:
        """Return the number of observations."""
        return sum(call.is_whole for call in history.calls)


def expected_bodies(call: NodeCall, servers: dict[str, set[str]]) -> set[bytes]:
    """Return the bodies that a whole answer may have."""
    if call.kind.is_stream:
        events = (
            make_event(call.request_id, number)
            for number in range(1, EVENT_COUNT + 1)
        )
        return {b''.join(events)}
    return {
        f'{call.request_id} {server}'.encode()
        for server in servers.get(call.request_id, ())
    }
