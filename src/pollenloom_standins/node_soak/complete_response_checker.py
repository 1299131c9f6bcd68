"""Checks that complete responses are those that the servers sent."""

from collections.abc import Iterator
from http import HTTPStatus

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_call import NodeCall
from pollenloom_standins.node_soak.node_history import NodeHistory
from pollenloom_standins.node_soak.soak_backend import EVENT_COUNT, make_event


class CompleteResponseChecker(PromiseChecker[NodeHistory]):
    """A response that is complete by its framing is the server's response.

    The server has also sent it to its end.
    """

    requirement = 'whole'
    promise = "a response that looks complete is the server's response"

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return responses that have missing or unexpected content."""
        servers: dict[str, set[str]] = {}
        for run in history.runs:
            if run.is_sealed:
                servers.setdefault(run.request_id, set()).add(run.server)
        for call in history.calls:
            if call.status != HTTPStatus.OK or not call.is_whole:
                continue
            if (
                call.request_id not in servers
                or call.body not in expected_bodies(call, servers)
            ):
                yield f'{call.describe()} {call.body[-60:]!r}'

    def checked(self, history: NodeHistory) -> int:
        """Return the number of complete responses."""
        return sum(call.is_whole for call in history.calls)


def expected_bodies(call: NodeCall, servers: dict[str, set[str]]) -> set[bytes]:
    """Return the bodies that a complete response may have."""
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
