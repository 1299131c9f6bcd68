"""Breaches of the rule that a duty has one holder."""

from dataclasses import dataclass
from enum import Enum, unique


@unique
class BreachKind(Enum):
    """What went wrong."""

    UNLIKE_COUNTS = 'unlike counts'
    SAME_NUMBER = 'same number of two holders'
    LOWER_NUMBER = 'lower number after a higher one'
    TURNS = 'holders in turns within a lease'


@dataclass(frozen=True, slots=True)
class DutyBreach:
    """One breach.

    Attributes:
        subject: What the calls are about.
        detail: The calls.
    """

    kind: BreachKind
    subject: str
    detail: str
