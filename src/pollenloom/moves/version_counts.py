"""Counts of answers of one version on one route."""

import msgspec


class VersionCounts(msgspec.Struct, frozen=True, array_like=True):
    """How many requests ran and how many of them went badly.

    Attributes:
        requests: Requests that ended.
        failures: Requests that failed.
        slow: Requests that succeeded but took too long.
    """

    requests: int = 0
    failures: int = 0
    slow: int = 0

    @property
    def bad(self) -> int:
        """Requests that failed or took too long."""
        return self.failures + self.slow

    def plus(self, other: 'VersionCounts') -> 'VersionCounts':
        """Return the sum."""
        return VersionCounts(
            self.requests + other.requests,
            self.failures + other.failures,
            self.slow + other.slow,
        )

    def minus(self, earlier: 'VersionCounts') -> 'VersionCounts':
        """Return what came since an earlier state of the same counts."""
        return VersionCounts(
            max(self.requests - earlier.requests, 0),
            max(self.failures - earlier.failures, 0),
            max(self.slow - earlier.slow, 0),
        )
