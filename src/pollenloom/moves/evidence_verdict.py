"""Verdicts of a sequential test."""

from enum import Enum, unique


@unique
class EvidenceVerdict(Enum):
    """What the evidence says so far."""

    UNDECIDED = 'undecided'
    GOOD = 'good'
    BAD = 'bad'
