"""Version moves that all routers evaluate together."""

from abc import abstractmethod
from collections.abc import Mapping

from pollenloom.core.ids import ResponseClass, ServiceId
from pollenloom.moves.version_moves import VersionMoves


class FleetMoves(VersionMoves):
    """Version moves whose evidence travels in load reports."""

    @abstractmethod
    def responses(self, service: ServiceId) -> Mapping[ResponseClass, float]:
        """Numbers of responses at this router in the move of a service."""
