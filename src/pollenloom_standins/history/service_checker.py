"""No account starves."""

from collections.abc import Iterator
from itertools import pairwise
from typing import Final

from pollenloom_standins.history.call_record import (
    CallKind,
    CallOutcome,
    CallRecord,
)
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker

# Twice the longest freeze of a router. The generator always has calls of
# each account waiting or in progress.
MAX_GAP_SECONDS: Final = 10.0


class ServiceChecker(PromiseChecker[History]):
    """Each account gets a whole answer at least every 10 s while it calls."""

    requirement = 'R2'
    promise = 'no account waits 10 s without service'

    def violations(self, history: History) -> Iterator[str]:
        """Return the gaps that are too long."""
        for account in accounts(history):
            times = sorted(
                call.ended
                for call in history.calls
                if call.account == account and is_service(call)
            )
            ends = [history.started, *times, history.ended]
            for before, after in pairwise(ends):
                if after - before > MAX_GAP_SECONDS:
                    yield (
                        f'{account} got no service for '
                        f'{after - before:.2f} s from {before:.3f} on'
                    )

    def checked(self, history: History) -> int:
        """Return the number of accounts."""
        return len(accounts(history))


def accounts(history: History) -> list[str]:
    """Return the accounts that called."""
    return sorted({call.account for call in history.calls})


def is_service(call: CallRecord) -> bool:
    """Whether a call served its account; orders may need the platform."""
    return call.outcome is CallOutcome.WHOLE and call.kind is not CallKind.ORDER
