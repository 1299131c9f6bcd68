"""Version shares that the move service sets."""

from pollenloom.admission.messages import SettledGrant
from pollenloom.admission.version_shares import VersionShares
from pollenloom.core.ids import ServiceId, VersionId
from pollenloom.moves.response_report import ResponseReport
from pollenloom.moves.version_moves import VersionMoves


class VersionMoveShares(VersionShares):
    """Gets shares from the move service and reports outcomes to it."""

    def __init__(self, moves: VersionMoves) -> None:
        self.moves = moves

    def share(
        self,
        service: ServiceId,
        version: VersionId,
        now: float,
    ) -> float:
        """Return the share of a version in its move; 1 without a move."""
        return self.moves.share(service, version)

    def record_outcome(
        self,
        service: ServiceId,
        version: VersionId,
        settled: SettledGrant,
    ) -> None:
        """Report the end of a request to the move service."""
        self.moves.record_response(
            ResponseReport(
                service=service,
                route=settled.route,
                version=version,
                outcome=settled.outcome,
                cost=settled.cost,
                first_byte_seconds=settled.first_byte_seconds,
                duration_seconds=settled.duration_seconds,
            ),
        )
