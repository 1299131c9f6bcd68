"""Checks that requests refused as "not run" did not run."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import Final

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_call_kind import NodeCallKind
from pollenloom_standins.node_soak.node_history import NodeHistory

# Statuses that say that a request was not run.
NOT_RUN_STATUSES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class NodeRefusalChecker(PromiseChecker[NodeHistory]):
    """No server ran a request that was refused as not run.

    Reads are left out: they may be repeated, so an earlier attempt may have
    run.
    """

    requirement = 'refusal'
    promise = 'a refusal that says "not run" is true'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return refused requests that ran."""
        ran = {run.request_id for run in history.runs if run.is_run}
        for call in history.calls:
            is_refused = call.status in NOT_RUN_STATUSES
            if (
                is_refused
                and call.request_id in ran
                and (call.kind is not NodeCallKind.READ)
            ):
                yield call.describe()

    def checked(self, history: NodeHistory) -> int:
        """Return the number of refusals that say "not run"."""
        return sum(call.status in NOT_RUN_STATUSES for call in history.calls)
