"""Part of the grants that each version may get."""

from abc import ABC, abstractmethod

from pollenloom.admission.messages import SettledGrant
from pollenloom.core.ids import ServiceId, VersionId


class VersionShares(ABC):
    """Limits the traffic of versions during a move, by evidence."""

    @abstractmethod
    def share(
        self,
        service: ServiceId,
        version: VersionId,
        now: float,
    ) -> float:
        """Part of a pool's grants that the version may get, 0 to 1.

        Versions with 1 are not limited and share by capacity.
        """

    @abstractmethod
    def record_outcome(
        self,
        service: ServiceId,
        version: VersionId,
        settled: SettledGrant,
    ) -> None:
        """Take the end of a request as evidence about a version."""


class UnlimitedShares(VersionShares):
    """No version is limited."""

    def share(
        self,
        service: ServiceId,
        version: VersionId,
        now: float,
    ) -> float:
        """All versions share by capacity."""
        return 1

    def record_outcome(
        self,
        service: ServiceId,
        version: VersionId,
        settled: SettledGrant,
    ) -> None:
        """Nobody asks for evidence."""
