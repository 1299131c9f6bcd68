"""Checks that backend servers get requests unchanged."""

from collections.abc import Iterator

from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.node_soak.node_history import NodeHistory


class RequestChecker(PromiseChecker[NodeHistory]):
    """Requests arrive unchanged, with the client account, without the key."""

    requirement = 'request'
    promise = 'servers get requests unchanged, with the account and not the key'

    def violations(self, history: NodeHistory) -> Iterator[str]:
        """Return requests that arrived with differences."""
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
        """Return the number of requests that arrived."""
        return len(history.runs)
