"""Checks that requests refused as "not run" did not run."""

from collections.abc import Iterator

from pollenloom_standins.history.call_record import CallOutcome, CallRecord
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker


class RefusalChecker(PromiseChecker[History]):
    """No server ran a request that was refused as not run."""

    requirement = 'R7'
    promise = 'a refusal that says "not run" is true'

    def violations(self, history: History) -> Iterator[str]:
        """Return refused calls that a server ran."""
        servers = {run.run.request_id: run.server for run in history.runs}
        for call in refusals(history):
            server = servers.get(call.request_id)
            if server is not None:
                yield f'{call.describe()}: ran on {server}'

    def checked(self, history: History) -> int:
        """Return the number of refusals that say "not run"."""
        return sum(1 for _ in refusals(history))


def refusals(history: History) -> Iterator[CallRecord]:
    """Return the calls that were refused as not run."""
    return (
        call
        for call in history.calls
        if call.outcome is CallOutcome.REFUSED
        and call.run == 'no'
        and call.request_id
    )
