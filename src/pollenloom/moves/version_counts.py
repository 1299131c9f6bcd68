"""Counts of responses of one version on one route."""

import msgspec


class VersionCounts(msgspec.Struct, frozen=True, array_like=True):
    """Numbers of all requests, of failed ones and of slow ones.

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
        """Return the sum of both counts."""
        return VersionCounts(
            self.requests + other.requests,
            self.failures + other.failures,
            self.slow + other.slow,
        )

    def minus(self, earlier: 'VersionCounts') -> 'VersionCounts':
        """Return the increase since an earlier state, at least 0."""
        return VersionCounts(
            max(self.requests - earlier.requests, 0),
            max(self.failures - earlier.failures, 0),
            max(self.slow - earlier.slow, 0),
        )
