"""Part of the grants that each version may get."""

from abc import ABC, abstractmethod

from pollenloom.core.ids import ServiceId, VersionId


class VersionShares(ABC):
    """Limits the traffic of versions during a move."""

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
