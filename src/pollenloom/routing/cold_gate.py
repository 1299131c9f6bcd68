"""Limit on the requests that a cold server gets from this router."""

from pollenloom.routing.cold_turn import ColdTurn


class ColdGate:
    """Turns that were used for one server."""

    def __init__(self) -> None:
        self.used: int | None = None

    def may_send(self, turn: ColdTurn) -> bool:
        """Whether a request may be sent in a turn."""
        return turn.is_open and turn.number != self.used

    def take(self, turn: ColdTurn) -> None:
        """Count a request that is sent."""
        self.used = turn.number
