"""Each checker of the node soak rejects a history that breaks its promise."""

from collections.abc import Callable

import pytest

from pollenloom_standins.node_soak.announcement import Announcement
from pollenloom_standins.node_soak.node_call import NodeCall
from pollenloom_standins.node_soak.node_call_kind import NodeCallKind
from pollenloom_standins.node_soak.node_fault_record import (
    NodeFaultKind,
    NodeFaultRecord,
)
from pollenloom_standins.node_soak.node_history import STORE, NodeHistory
from pollenloom_standins.node_soak.node_promises import NODE_PROMISES
from pollenloom_standins.node_soak.node_run import NodeRun
from pollenloom_standins.node_soak.soak_backend import EVENT_COUNT, make_event

START = 1000.0


def make_call(
    request_id: str = 'a1',
    kind: NodeCallKind = NodeCallKind.ORDER,
    at: float = START,
) -> NodeCall:
    """Return a call that was served."""
    body = f'{request_id} i-1'.encode()
    if kind.is_stream:
        numbers = range(1, EVENT_COUNT + 1)
        body = b''.join(make_event(request_id, number) for number in numbers)
    return NodeCall(
        request_id=request_id,
        kind=kind,
        node='edge-0',
        boot=1,
        key='key-1',
        started=at,
        ended=at + 0.1,
        status=200,
        is_whole=True,
        body=body,
    )


def make_run(call: NodeCall, at: float | None = None) -> NodeRun:
    """Return the run of a call."""
    return NodeRun(
        request_id=call.request_id,
        server='i-1',
        at=call.started if at is None else at,
        start_line=f'POST {call.kind.value}{call.request_id} HTTP/1.1',
        account=f'account of {call.key}',
        has_key=False,
        body=f'body of {call.request_id}'.encode(),
        is_sealed=True,
    )


@pytest.fixture
def history() -> NodeHistory:
    """History of one served call of each kind."""
    calls = [
        make_call(f'a{number}', kind)
        for number, kind in enumerate(NodeCallKind)
    ]
    return NodeHistory(
        seed=1,
        calls=calls,
        runs=[make_run(call) for call in calls],
    )


def broken_promises(history: NodeHistory) -> set[str]:
    """Return the names of the promises that are broken."""
    return {
        checker.requirement
        for checker in NODE_PROMISES
        if list(checker.violations(history))
    }


def test_history_that_keeps_promises_is_accepted(history: NodeHistory) -> None:
    """Guards against checkers that report violations without a reason."""
    assert not broken_promises(history)


def run_twice(history: NodeHistory) -> None:
    """Run an order a second time."""
    order = history.calls[1]
    history.runs.append(make_run(order))


def run_request_that_was_not_sent(history: NodeHistory) -> None:
    """Run a request that no caller sent."""
    history.runs.append(make_run(make_call('a9')))


def refuse_after_run(history: NodeHistory) -> None:
    """Refuse an order as not run although it ran."""
    history.calls[1].status = 503


def lose_an_event(history: NodeHistory) -> None:
    """Leave one event out of a stream."""
    stream = history.calls[2]
    stream.body = stream.body.replace(make_event('a2', 3), b'')


def return_response_of_another_call(history: NodeHistory) -> None:
    """Give one call the response body of another."""
    history.calls[0].body = history.calls[1].body


def succeed_where_the_server_failed(history: NodeHistory) -> None:
    """Let a server break off a response that its caller got as complete."""
    history.runs[0].is_sealed = False


def pass_the_key(history: NodeHistory) -> None:
    """Pass an API key to a server."""
    history.runs[0].has_key = True


def change_the_account(history: NodeHistory) -> None:
    """Name another client account to a server."""
    history.runs[0].account = 'account of key-2'


def use_a_leaving_server(history: NodeHistory) -> None:
    """Send a request long after its server announced that it leaves."""
    leaving = Announcement(subject='i-1', at=START - 5)
    history.leaving.append(leaving)


def serve_a_revoked_key(history: NodeHistory) -> None:
    """Serve a key long after it was revoked."""
    history.revoked.append(Announcement(subject='key-1', at=START - 5))


def forget_changes_in_a_restore(history: NodeHistory) -> None:
    """Break what was in force before the store came back from a copy."""
    use_a_leaving_server(history)
    serve_a_revoked_key(history)
    restore = NodeFaultRecord(
        kind=NodeFaultKind.STORE_RESTORED,
        target=STORE,
        started=START - 2,
        ended=START - 1,
        recovered=START - 1,
    )
    history.faults.append(restore)


def cut_at_a_stop(history: NodeHistory) -> None:
    """Cut a response while the node stops."""
    history.calls[2].is_whole = False
    history.faults.append(make_stop())


def exit_with_failure(history: NodeHistory) -> None:
    """Let a stopped node exit with a failure."""
    stop = make_stop()
    stop.exit_code = 1
    stop.target = 'edge-1'
    history.faults.append(stop)


def refuse_all_calls(history: NodeHistory) -> None:
    """Refuse all calls after the last fault."""
    for number in range(20):
        call = make_call(f'b{number}', at=START + 60)
        call.status = 502
        history.calls.append(call)


def make_stop() -> NodeFaultRecord:
    """Return a graceful stop of the node."""
    return NodeFaultRecord(
        kind=NodeFaultKind.NODE_STOP,
        target='edge-0',
        started=START - 0.5,
        ended=START + 3,
        recovered=START + 4,
    )


@pytest.mark.parametrize(
    ('break_history', 'name'),
    [
        (run_twice, 'once'),
        (run_request_that_was_not_sent, 'once'),
        (refuse_after_run, 'refusal'),
        (lose_an_event, 'whole'),
        (return_response_of_another_call, 'whole'),
        (succeed_where_the_server_failed, 'whole'),
        (pass_the_key, 'request'),
        (change_the_account, 'request'),
        (use_a_leaving_server, 'drain'),
        (serve_a_revoked_key, 'revoked'),
        (forget_changes_in_a_restore, 'drain'),
        (forget_changes_in_a_restore, 'revoked'),
        (cut_at_a_stop, 'stop'),
        (exit_with_failure, 'stop'),
        (refuse_all_calls, 'served'),
    ],
)
def test_broken_promise_is_found(
    history: NodeHistory,
    break_history: Callable[[NodeHistory], None],
    name: str,
) -> None:
    """Guards against a soak that passes whatever the nodes do."""
    break_history(history)
    assert name in broken_promises(history)


def test_cut_off_node_may_be_late(history: NodeHistory) -> None:
    """Guards against violations that a node could not prevent.

    While it is cut off from the store, it learns of no leaving server and of
    no revoked key.
    """
    use_a_leaving_server(history)
    serve_a_revoked_key(history)
    cut = NodeFaultRecord(
        kind=NodeFaultKind.STORE_CUT,
        target='edge-0',
        started=START - 6,
        ended=START + 1,
        recovered=START + 2,
    )
    history.faults.append(cut)
    assert not broken_promises(history) & {'drain', 'revoked'}


def test_requests_beyond_a_named_limit_are_reported(
    history: NodeHistory,
) -> None:
    """Guards against a check that no fleet can break."""
    for number in range(100):
        call = make_call(f'limited-{number}', at=START + number * 0.1)
        run = make_run(call)
        run.rate_limit = 1.0
        history.calls.append(call)
        history.runs.append(run)
    assert broken_promises(history) == {'limit'}


def test_requests_within_a_named_limit_are_allowed(
    history: NodeHistory,
) -> None:
    """Guards against a limit that counts what nodes could not know."""
    for number in range(100):
        at = START + number * (0.1 if number < 30 else 0.5)
        call = make_call(f'limited-{number}', at=at)
        run = make_run(call)
        run.rate_limit = 2.0
        history.calls.append(call)
        history.runs.append(run)
    assert not broken_promises(history)
