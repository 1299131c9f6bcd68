"""Part of the grants that each version may get."""

from abc import ABC, abstractmethod

from pollenloom.admission.messages import SettledGrant
from pollenloom.core.ids import ServiceId, VersionId


class VersionShares(ABC):
    """Part of a pool's grants that each version may get during a move."""

    @abstractmethod
    def share(
        self,
        service: ServiceId,
        version: VersionId,
        now: float,
    ) -> float:
        """Part of a pool's grants that the version may get, 0 to 1.

        Versions with 1 are not limited; their servers get grants by relative
        load.
        """

    @abstractmethod
    def record_outcome(
        self,
        service: ServiceId,
        version: VersionId,
        settled: SettledGrant,
    ) -> None:
        """Record how a request to a version ended."""


class UnlimitedShares(VersionShares):
    """Limits no version."""

    def share(
        self,
        service: ServiceId,
        version: VersionId,
        now: float,
    ) -> float:
        """Return 1 for each version."""
        return 1

    def record_outcome(
        self,
        service: ServiceId,
        version: VersionId,
        settled: SettledGrant,
    ) -> None:
        """Ignore the outcome, since no move evaluates it."""
