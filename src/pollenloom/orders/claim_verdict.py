"""Answers to a claim."""

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
    # The desk has not read all records yet that could name the key.
    UNSURE = 'unsure'
