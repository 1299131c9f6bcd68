"""Interface of the service that moves traffic between versions."""

from abc import abstractmethod

from pollenloom.moves.move_record import MoveRecord
from pollenloom.moves.version_moves import VersionMoves


class MoveService(VersionMoves):
    """Runs the moves that service files name and reports on them."""

    @abstractmethod
    def records(self) -> tuple[MoveRecord, ...]:
        """Records of all known moves, the latest change last."""
