"""Limit on the requests that a cold server gets from this router."""

from pollenloom.routing.cold_server_turn import ColdServerTurn


class ColdServerLimiter:
    """Turns that were used for one server."""

    def __init__(self) -> None:
        self.used: int | None = None

    def may_send(self, turn: ColdServerTurn) -> bool:
        """Whether a request may be sent in a turn."""
        return turn.is_open and turn.number != self.used

    def take(self, turn: ColdServerTurn) -> None:
        """Count a request that is sent."""
        self.used = turn.number
