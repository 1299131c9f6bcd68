"""Checks that no client account starves."""

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

# Twice the longest freeze of a router. The load generator always has calls of
# each client account waiting or in progress.
MAX_GAP_SECONDS: Final = 10.0


class StarvationChecker(PromiseChecker[History]):
    """Each client account gets a complete response at least every 10 s."""

    requirement = 'R2'
    promise = 'no account waits 10 s without service'

    def violations(self, history: History) -> Iterator[str]:
        """Return times without service that are too long."""
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
        """Return the number of client accounts."""
        return len(accounts(history))


def accounts(history: History) -> list[str]:
    """Return the client accounts that made calls."""
    return sorted({call.account for call in history.calls})


def is_service(call: CallRecord) -> bool:
    """Whether a call counts as service.

    Orders do not count, since they may need the platform.
    """
    return (
        call.outcome is CallOutcome.COMPLETE and call.kind is not CallKind.ORDER
    )
