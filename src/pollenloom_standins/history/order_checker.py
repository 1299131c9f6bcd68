"""Orders run at most once."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from pollenloom_standins.history.call_record import CallKind, CallOutcome
from pollenloom_standins.history.history import History
from pollenloom_standins.history.promise_checker import PromiseChecker


class OrderChecker(PromiseChecker[History]):
    """No key ran twice; all answers to a key are one and the same."""

    requirement = 'R8'
    promise = 'orders run at most once, repeats get the same outcome'

    def violations(self, history: History) -> Iterator[str]:
        """Return keys that ran twice or had two answers."""
        runs = Counter(run.order.key for run in history.orders)
        for key, count in runs.items():
            if count > 1:
                yield f'order {key} ran {count} times'
        for key, found in answers(history).items():
            if len(found) > 1:
                yield f'order {key} has {len(found)} answers: {sorted(found)}'
            if not runs[key]:
                yield f'order {key} was answered, but no server ran it'

    def checked(self, history: History) -> int:
        """Return the number of keys that were used."""
        return len({call.key for call in history.calls if call.key})


def answers(history: History) -> dict[str, set[str]]:
    """Return the different answers to each key."""
    found: dict[str, set[str]] = defaultdict(set)
    for call in history.calls:
        if call.kind is CallKind.ORDER and call.outcome is CallOutcome.WHOLE:
            found[call.key].add(call.answer)
    return found
