"""Verdicts of a sequential test."""

from enum import Enum, unique


@unique
class EvidenceVerdict(Enum):
    """Result of a sequential test on the counts so far."""

    UNDECIDED = 'undecided'
    GOOD = 'good'
    BAD = 'bad'
