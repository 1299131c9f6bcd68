"""Checks that orders run at most once."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from pollenloom_standins.history.call_record import CallKind, CallOutcome
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker


class OrderChecker(PromiseChecker[History]):
    """No idempotency key runs twice; all responses to a key are equal."""

    requirement = 'R8'
    promise = 'orders run at most once, repeats get the same outcome'

    def violations(self, history: History) -> Iterator[str]:
        """Return keys that ran twice, never, or had different responses."""
        runs = Counter(run.order.key for run in history.orders)
        for key, count in runs.items():
            if count > 1:
                yield f'order {key} ran {count} times'
        for key, found in responses_by_key(history).items():
            if len(found) > 1:
                yield f'order {key} got {len(found)} responses: {sorted(found)}'
            if not runs[key]:
                yield f'order {key} got a response, but no server ran it'

    def checked(self, history: History) -> int:
        """Return the number of keys that were used."""
        return len({call.key for call in history.calls if call.key})


def responses_by_key(history: History) -> dict[str, set[str]]:
    """Return the distinct response bodies by idempotency key."""
    found: dict[str, set[str]] = defaultdict(set)
    for call in history.calls:
        if call.kind is CallKind.ORDER and call.outcome is CallOutcome.COMPLETE:
            found[call.key].add(call.answer)
    return found
