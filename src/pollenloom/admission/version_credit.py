"""Credit counter that keeps limited versions to their share."""

from collections.abc import Iterable

from pollenloom.admission.version_shares import VersionShares
from pollenloom.core.ids import ServiceId, VersionId

# Caps the burst of a version that could not use its share for a while.
MAX_CREDIT = 2.0
ROUNDING_TOLERANCE = 1e-9


class VersionCredit:
    """Credit of each limited version of one pool.

    Each grant of the pool adds the version's share to its credit, and a grant
    to the version itself costs 1.
    """

    def __init__(self, service: ServiceId, shares: VersionShares) -> None:
        self.service = service
        self.shares = shares
        self.credit: dict[VersionId, float] = {}

    def allows(self, version: VersionId, now: float) -> bool:
        """Whether the version has credit for the next grant."""
        share = self.shares.share(self.service, version, now)
        if share >= 1:
            self.credit.pop(version, None)
            return True
        return self.credit.get(version, 0) + share >= 1 - ROUNDING_TOLERANCE

    def limited(
        self, versions: Iterable[VersionId], now: float
    ) -> frozenset[VersionId]:
        """Return the versions with a limited share that is not zero."""
        return frozenset(
            version
            for version in versions
            if 0 < self.shares.share(self.service, version, now) < 1
        )

    def record_grant(
        self,
        version: VersionId,
        versions: Iterable[VersionId],
        now: float,
    ) -> None:
        """Charge a grant to `version`; all versions of the pool earn credit."""
        for known in versions:
            share = self.shares.share(self.service, known, now)
            if share >= 1:
                continue
            spent = 1 if known == version else 0
            credit = self.credit.get(known, 0) + share - spent
            self.credit[known] = min(MAX_CREDIT, credit)
