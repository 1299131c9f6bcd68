"""Verdicts on a claim."""

from enum import Enum, unique


@unique
class ClaimVerdict(Enum):
    """What a claimant may do."""

    UNCLAIMED = 'unclaimed'
    GRANTED = 'granted'
    REPLAY = 'replay'
    IN_PROGRESS = 'in_progress'
    UNKNOWN = 'unknown'
    REUSED = 'reused'
    EXPIRED = 'expired'
    INVALID = 'invalid'
    UNAVAILABLE = 'unavailable'
    # The coordinator has not read any record of the log since its start.
    INDEX_NOT_LOADED = 'unsure'
