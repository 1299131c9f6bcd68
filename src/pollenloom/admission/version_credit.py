"""Running count that keeps limited versions to their share."""

from collections.abc import Iterable

from pollenloom.admission.version_shares import VersionShares
from pollenloom.core.ids import ServiceId, VersionId

# A version that could not use its share must not catch up in a burst.
MAX_CREDIT = 2.0
ROUNDING_TOLERANCE = 1e-9


class VersionCredit:
    """Grants that each limited version of one pool may get now.

    Each grant of the pool adds the version's share to its credit; a grant to
    the version costs 1.
    """

    def __init__(self, service: ServiceId, shares: VersionShares) -> None:
        self.service = service
        self.shares = shares
        self.credit: dict[VersionId, float] = {}

    def allows(self, version: VersionId, now: float) -> bool:
        """Whether the next grant may go to the version."""
        share = self.shares.share(self.service, version, now)
        if share >= 1:
            self.credit.pop(version, None)
            return True
        return self.credit.get(version, 0) + share >= 1 - ROUNDING_TOLERANCE

    def record_grant(
        self,
        version: VersionId,
        versions: Iterable[VersionId],
        now: float,
    ) -> None:
        """Count a grant to `version` of a pool with these versions."""
        for known in versions:
            share = self.shares.share(self.service, known, now)
            if share >= 1:
                continue
            spent = 1 if known == version else 0
            credit = self.credit.get(known, 0) + share - spent
            self.credit[known] = min(MAX_CREDIT, credit)
