"""Checks that a server gets no more requests than the limit that it names."""

from collections.abc import Iterator
from typing import Final

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_history import (
    CATCH_UP_SECONDS,
    NodeHistory,
)
from pollenloom_standins.node_soak.node_run import NodeRun

# The users' rule: from this long after the first naming, any window may have
# this multiple of the limit, and the slack.
STABLE_SECONDS: Final = 3.0
WINDOW_SECONDS: Final = 4.0
MAX_SHARE: Final = 1.5
SLACK_REQUESTS: Final = 5


class RateLimitChecker(PromiseChecker[NodeHistory]):
    """All nodes together keep to the limit that a server names.

    Requests from nodes that a fault disturbed lately are not counted.
    """

    requirement = 'limit'
    promise = 'a server gets no more requests than the limit that it names'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return windows with too many requests."""
        for server, runs in limited_runs(history).items():
            begin = runs[0].at + STABLE_SECONDS
            counted = [run for run in runs if is_counted(history, run)]
            for last in counted:
                window = [
                    run
                    for run in counted
                    if last.at - WINDOW_SECONDS <= run.at <= last.at
                ]
                limit = last.rate_limit or 0
                allowed = MAX_SHARE * limit * WINDOW_SECONDS + SLACK_REQUESTS
                if last.at >= begin and len(window) > allowed:
                    yield (
                        f'{server} named {limit} a second and got '
                        f'{len(window)} requests in {WINDOW_SECONDS} s'
                    )

    def checked(self, history: NodeHistory) -> int:
        """Return the number of servers that named a limit for long enough."""
        return sum(
            runs[-1].at >= runs[0].at + STABLE_SECONDS
            for runs in limited_runs(history).values()
        )


def limited_runs(history: NodeHistory) -> dict[str, list[NodeRun]]:
    """Return the requests at servers that named a limit, by server."""
    by_server: dict[str, list[NodeRun]] = {}
    for run in history.runs:
        if run.rate_limit is not None:
            by_server.setdefault(run.server, []).append(run)
    return by_server


def is_counted(history: NodeHistory, run: NodeRun) -> bool:
    """Whether the node that sent a request was not disturbed lately."""
    nodes = {call.request_id: call.node for call in history.calls}
    node = nodes.get(run.request_id, '')
    return not history.is_disturbed(node, run.at - CATCH_UP_SECONDS, run.at)
