"""Limits on what callers may send."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Sizes in bytes and times in seconds.

    The defaults hold until a configuration is known.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3
    idle_seconds: float = 15
