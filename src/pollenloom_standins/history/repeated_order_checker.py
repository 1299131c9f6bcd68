"""Checks that no repeat of an order that ran is refused as "not run"."""

from collections.abc import Iterator

from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.history.refusal_checker import refusals


class RepeatedOrderChecker(PromiseChecker[History]):
    """Compares refusals of orders with earlier runs of the same key.

    `RefusalChecker` compares a refusal only with the run of the same call.
    After a "not run" for the repeat of an order that ran, the caller would
    order again.
    """

    requirement = 'R7-key'
    promise = 'no repeat of an order that ran is refused as "not run"'

    def violations(self, history: History) -> Iterator[str]:
        """Return refusals of keys that ran before the refused call."""
        times = {run.order.key: run.order.at for run in history.orders}
        for call in refusals(history):
            at = times.get(call.key, call.ended)
            if at < call.started:
                earlier = call.started - at
                yield f'{call.describe()}: key ran {earlier:.2f} s earlier'

    def checked(self, history: History) -> int:
        """Return the number of orders refused as not run."""
        return sum(bool(call.key) for call in refusals(history))
