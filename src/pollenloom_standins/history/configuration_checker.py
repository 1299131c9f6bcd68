"""Accepted configurations are in force and stay so."""

from collections.abc import Iterator
from itertools import groupby
from typing import Final

from pollenloom_standins.history.history import (
    LINK_FAULTS,
    PLATFORM_FAULTS,
    History,
)
from pollenloom_standins.history.promise_checker import PromiseChecker
from pollenloom_standins.history.response_checker import ROUTER_LOSS_FAULTS
from pollenloom_standins.history.samples import (
    ConfirmedPublish,
    RevisionSample,
)

APPLY_SECONDS: Final = 3.0


class ConfigurationChecker(PromiseChecker[History]):
    """Revisions never go down, and each is everywhere after 3 s.

    The time is not checked for a router while links are cut, while the
    platform fails, or for 3 s after its own start or freeze: what cannot be
    reached cannot be told. Going down is never let pass.
    """

    requirement = 'R11'
    promise = 'an accepted configuration is in force in 3 s, never reverts'

    def violations(self, history: History) -> Iterator[str]:
        """Return samples that went down or came too late."""
        yield from reverts(history)
        yield from duplicates(history)
        for publish in history.publishes:
            yield from late_samples(history, publish)

    def checked(self, history: History) -> int:
        """Return the number of samples that had to show a publish."""
        return sum(
            is_due(history, publish, sample)
            for publish in history.publishes
            for sample in history.revisions
        )


def reverts(history: History) -> Iterator[str]:
    """Return revisions that went down on one start of a router."""
    ordered = sorted(
        history.revisions,
        key=lambda sample: (sample.vm, sample.start, sample.asked_at),
    )
    for _, samples in groupby(ordered, start_of):
        highest = 0
        for sample in samples:
            if sample.revision < highest:
                yield (
                    f'{sample.vm} went from revision {highest} to '
                    f'{sample.revision} at {sample.asked_at:.3f}'
                )
            highest = max(highest, sample.revision)


def start_of(sample: RevisionSample) -> tuple[str, int]:
    """Return which start of which router a sample is of."""
    return sample.vm, sample.start


def late_samples(
    history: History,
    publish: ConfirmedPublish,
) -> Iterator[str]:
    """Return samples that should show a publish and do not."""
    for sample in history.revisions:
        if sample.revision < publish.revision and is_due(
            history,
            publish,
            sample,
        ):
            yield (
                f'{sample.vm} has revision {sample.revision}, not '
                f'{publish.revision}, '
                f'{sample.asked_at - publish.told_at:.2f} s after it '
                'was accepted'
            )


def duplicates(history: History) -> Iterator[str]:
    """Return revisions that two operators were both told to have won."""
    winners: dict[int, str] = {}
    for publish in history.publishes:
        winner = winners.setdefault(publish.revision, publish.publisher)
        if winner != publish.publisher:
            yield (
                f'revision {publish.revision} was given to {winner} and '
                f'{publish.publisher}'
            )


def is_due(
    history: History,
    publish: ConfirmedPublish,
    sample: RevisionSample,
) -> bool:
    """Whether a sample must show a publish."""
    now = sample.asked_at
    if now <= publish.told_at + APPLY_SECONDS:
        return False
    if now <= sample.running_since + APPLY_SECONDS:
        return False
    since = max(publish.told_at, now - APPLY_SECONDS)
    return not (
        history.had_fault(LINK_FAULTS + PLATFORM_FAULTS, since, now)
        or history.had_fault(ROUTER_LOSS_FAULTS, since, now, sample.vm)
    )
