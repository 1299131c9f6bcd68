"""Checks the calls of the holders of duties."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from pollenloom_standins.duty_platform.duty_breach import (
    BreachKind,
    DutyBreach,
)

USAGE_SUBJECT = 'usage'


@dataclass(frozen=True, slots=True)
class DutyCall:
    """One call that arrived.

    Attributes:
        holder: Machine that sent it.
        number: Its fencing number.
        at: When it arrived, seconds.
    """

    holder: str
    number: int
    at: float


@dataclass(slots=True)
class DutyChecker:
    """Counts breaches of the rule ONE, without excuses.

    Attributes:
        lease_seconds: Time within which holders must not act in turns.
        recent: Calls within that time, by subject in order of arrival.
        highest: Highest number so far, by subject.
        holders: Machine of each number, by subject and number.
        reports: Counts of each reported window.
        breaches: What was found.
    """

    lease_seconds: float
    recent: dict[str, list[DutyCall]] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)
    holders: dict[tuple[str, int], str] = field(default_factory=dict)
    reports: dict[int, dict[str, int]] = field(default_factory=dict)
    breaches: list[DutyBreach] = field(default_factory=list)

    def report(
        self, call: DutyCall, window: int, counts: Mapping[str, int]
    ) -> None:
        """Check a usage report that is accepted."""
        self.check(call, USAGE_SUBJECT)
        known = self.reports.setdefault(window, dict(counts))
        if known != counts:
            detail = f'window {window}: {known}, then {counts} by {call}'
            self.add(BreachKind.UNLIKE_COUNTS, USAGE_SUBJECT, detail)

    def check(self, call: DutyCall, subject: str) -> None:
        """Check the holder and the number of a call."""
        key = (subject, call.number)
        if self.holders.setdefault(key, call.holder) != call.holder:
            self.add(BreachKind.SAME_NUMBER, subject, f'{call}')
        if self.highest.get(subject, call.number) > call.number:
            self.add(BreachKind.LOWER_NUMBER, subject, f'{call}')
        self.highest[subject] = max(
            self.highest.get(subject, call.number), call.number
        )
        recent = [
            other
            for other in self.recent.get(subject, ())
            if call.at - other.at < self.lease_seconds
        ]
        if is_in_turns(call, recent):
            self.add(BreachKind.TURNS, subject, f'{call}')
        self.recent[subject] = [*recent, call]

    def add(self, kind: BreachKind, subject: str, detail: str) -> None:
        """Record a breach."""
        self.breaches.append(DutyBreach(kind, subject, detail))


def is_in_turns(call: DutyCall, recent: Sequence[DutyCall]) -> bool:
    """Whether the holder acted, then another one, then it again."""
    holders = [other.holder for other in recent]
    if call.holder not in holders:
        return False
    first = holders.index(call.holder)
    return any(holder != call.holder for holder in holders[first:])
