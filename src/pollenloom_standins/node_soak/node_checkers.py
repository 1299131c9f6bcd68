"""Promises of the fleet on the users' machines, checked on a history."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterator
from http import HTTPStatus
from typing import ClassVar, Final

from pollenloom_standins.node_soak.node_history import (
    NodeCall,
    NodeCallKind,
    NodeFault,
    NodeHistory,
)
from pollenloom_standins.node_soak.soak_worker import EVENTS, event_of

# Statuses by which a router says that a request was not run.
NOT_RUN: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
DRAIN_SECONDS: Final = 2.0
APPLY_SECONDS: Final = 2.0
# A node that was cut off or frozen knows again after this time.
TOUCH_SECONDS: Final = 3.0
# The balancer and open connections may bring requests for so long.
STOP_SECONDS: Final = 8.0
FEWEST_SERVED: Final = 0.95


class NodeChecker(ABC):
    """Checks one promise; a pure function of the history."""

    name: ClassVar[str]

    @abstractmethod
    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return how the history breaks the promise, one line each."""

    @abstractmethod
    def checked(self, history: NodeHistory) -> int:
        """Return how many observations the promise was checked on."""


class OnceChecker(NodeChecker):
    """What may not be repeated runs once."""

    name = 'once'

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


class RefusalChecker(NodeChecker):
    """A refusal that says "not run" is true."""

    name = 'refusal'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return refused requests that ran."""
        ran = {run.request_id for run in history.runs if run.is_run}
        for call in history.calls:
            is_refused = call.status in NOT_RUN
            if (
                is_refused
                and call.request_id in ran
                and (call.kind is not NodeCallKind.READ)
            ):
                yield call.describe()

    def checked(self, history: NodeHistory) -> int:
        """Return the number of observations."""
        return sum(call.status in NOT_RUN for call in history.calls)


class WholeChecker(NodeChecker):
    """An answer that looks whole is the server's own whole answer."""

    name = 'whole'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return answers that are another's, or not whole."""
        servers: dict[str, set[str]] = {}
        for run in history.runs:
            servers.setdefault(run.request_id, set()).add(run.server)
        for call in history.calls:
            if call.status != HTTPStatus.OK or not call.is_whole:
                continue
            if call.body not in expected(call, servers):
                yield f'{call.describe()} {call.body[-60:]!r}'

    def checked(self, history: NodeHistory) -> int:
        """Return the number of observations."""
        return sum(call.is_whole for call in history.calls)


class RequestChecker(NodeChecker):
    """Servers get requests unchanged, with the account and not the key."""

    name = 'request'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return requests that arrived changed."""
        calls = {call.request_id: call for call in history.calls}
        for run in history.runs:
            call = calls.get(run.request_id)
            if call is None:
                continue
            line = f'POST {call.kind.value}{call.request_id} HTTP/1.1'
            body = f'body of {call.request_id}'.encode()
            account = f'account of {call.key}'
            found = (run.start_line, run.body, run.account, run.has_key)
            if found != (line, body, account, False):
                yield f'{call.describe()}: {found}'

    def checked(self, history: NodeHistory) -> int:
        """Return the number of observations."""
        return len(history.runs)


class DrainChecker(NodeChecker):
    """A leaving server gets nothing new after two seconds."""

    name = 'drain'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return requests that came too late."""
        nodes = {call.request_id: call.node for call in history.calls}
        for leaving in history.leaving:
            due = leaving.at + DRAIN_SECONDS
            for run in history.runs:
                node = nodes.get(run.request_id, '')
                is_late = run.server == leaving.subject and run.at > due
                if is_late and not history.is_disturbed(
                    node,
                    leaving.at - TOUCH_SECONDS,
                    run.at,
                ):
                    yield (
                        f'{run.request_id} came to {run.server} '
                        f'{run.at - leaving.at:.2f} s after its leaving'
                    )

    def checked(self, history: NodeHistory) -> int:
        """Return the number of observations."""
        return len(history.leaving)


class RevokedChecker(NodeChecker):
    """A revoked key is refused after two seconds, and stays refused."""

    name = 'revoked'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return calls that were served with a revoked key."""
        revoked = {entry.subject: entry.at for entry in history.revoked}
        for call in history.calls:
            at = revoked.get(call.key)
            if at is None or call.status != HTTPStatus.OK:
                continue
            if call.started > at + APPLY_SECONDS and not history.is_disturbed(
                call.node,
                at - TOUCH_SECONDS,
                call.ended,
            ):
                late = call.started - at
                yield f'{call.describe()}: {late:.2f} s after its key'

    def checked(self, history: NodeHistory) -> int:
        """Return the number of observations."""
        return len(history.revoked)


class StopChecker(NodeChecker):
    """A node that is stopped finishes what it took, and ends in time."""

    name = 'stop'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return stops that took too long and requests that they cut."""
        for stop in history.faults:
            if stop.kind != 'node-stop':
                continue
            seconds = stop.ended - stop.started
            if stop.exit_code or seconds > STOP_SECONDS:
                yield (
                    f'{stop.target} ended with {stop.exit_code} '
                    f'after {seconds:.1f} s'
                )
            yield from self.cut_calls(stop, history)

    def cut_calls(
        self,
        stop: NodeFault,
        history: NodeHistory,
    ) -> Iterator[str]:
        """Return calls that a server answered and whose caller got less.

        Servers that fail, vanish or stay silent cut answers as well.
        """
        answered = {run.request_id for run in history.runs if run.is_sealed}
        for call in history.calls:
            is_here = call.node == stop.target and not call.is_whole
            in_stop = stop.started <= call.started <= stop.ended
            if is_here and in_stop and call.request_id in answered:
                yield call.describe()

    def checked(self, history: NodeHistory) -> int:
        """Return the number of observations."""
        return sum(fault.kind == 'node-stop' for fault in history.faults)


class ServedChecker(NodeChecker):
    """When nothing is wrong any more, callers are served."""

    name = 'served'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return whether too few calls of the last seconds were served."""
        end = max((fault.recovered for fault in history.faults), default=0)
        calls = [
            call
            for call in history.calls
            if call.started > end + 1 and call.ended
        ]
        served = sum(call.status == HTTPStatus.OK for call in calls)
        if served < FEWEST_SERVED * len(calls) or not calls:
            yield f'{served} of {len(calls)} calls after the last fault'

    def checked(self, history: NodeHistory) -> int:
        """Return the number of observations."""
        return len(history.calls)


def expected(call: NodeCall, servers: dict[str, set[str]]) -> set[bytes]:
    """Return the bodies that a whole answer may have."""
    if call.kind.is_stream:
        events = (
            event_of(call.request_id, number) for number in range(1, EVENTS + 1)
        )
        return {b''.join(events)}
    return {
        f'{call.request_id} {server}'.encode()
        for server in servers.get(call.request_id, ())
    }


CHECKERS: Final[tuple[NodeChecker, ...]] = (
    OnceChecker(),
    RefusalChecker(),
    WholeChecker(),
    RequestChecker(),
    DrainChecker(),
    RevokedChecker(),
    StopChecker(),
    ServedChecker(),
)
