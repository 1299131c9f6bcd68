"""Checks that accepted configurations take effect and stay in force."""

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
    """Revisions never decrease, and all routers have each one after 3 s.

    The time limit does not apply while links are cut or the platform fails,
    nor to a router for 3 s after its start, kill or freeze, since a router
    that cannot be reached cannot be updated. A decrease is always a violation.
    """

    requirement = 'R11'
    promise = 'an accepted configuration is in force in 3 s, never reverted'

    def violations(self, history: History) -> Iterator[str]:
        """Return decreases, revisions confirmed twice, and late samples."""
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
    """Return decreases of the revision within one start of a router."""
    ordered = sorted(
        history.revisions,
        key=lambda sample: (sample.vm, sample.start, sample.asked_at),
    )
    for _, samples in groupby(ordered, start_key):
        highest = 0
        for sample in samples:
            if sample.revision < highest:
                yield (
                    f'{sample.vm} went from revision {highest} to '
                    f'{sample.revision} at {sample.asked_at:.3f}'
                )
            highest = max(highest, sample.revision)


def start_key(sample: RevisionSample) -> tuple[str, int]:
    """Return the router and the start that a sample belongs to."""
    return sample.vm, sample.start


def late_samples(
    history: History,
    publish: ConfirmedPublish,
) -> Iterator[str]:
    """Return samples that are due to show a publish and do not."""
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
    """Return revisions that were confirmed to more than one operator."""
    publishers: dict[int, str] = {}
    for publish in history.publishes:
        first_publisher = publishers.setdefault(
            publish.revision, publish.publisher
        )
        if first_publisher != publish.publisher:
            yield (
                f'revision {publish.revision} was confirmed to '
                f'{first_publisher} and {publish.publisher}'
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
