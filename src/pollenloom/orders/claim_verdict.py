"""Verdicts on a claim."""

from enum import Enum, unique


@unique
class ClaimVerdict(Enum):
    """What a claimant may do.

    Attributes:
        UNCLAIMED: No claim holds the key; the claimant may append its claim.
        GRANTED: The claim holds the key; its router may dispatch the order.
        REPLAY: The outcome of an earlier call is recorded.
        IN_PROGRESS: An earlier call has not ended yet.
        UNKNOWN: An earlier call may have been run; its outcome is unknown.
        REUSED: An earlier call with the key had another method, path or body.
        EXPIRED: The key is so old that its records may have been trimmed.
        INVALID: The key has a creation time in the future.
        UNAVAILABLE: The claim could not be appended to the log.
        INDEX_NOT_LOADED: The coordinator has not read the log since its
            start, so it does not know whether there was an earlier call.
    """

    UNCLAIMED = 'unclaimed'
    GRANTED = 'granted'
    REPLAY = 'replay'
    IN_PROGRESS = 'in_progress'
    UNKNOWN = 'unknown'
    REUSED = 'reused'
    EXPIRED = 'expired'
    INVALID = 'invalid'
    UNAVAILABLE = 'unavailable'
    INDEX_NOT_LOADED = 'unsure'
