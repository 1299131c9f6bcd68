"""Limit on the requests that this router sends to a cold server."""

from pollenloom.routing.cold_server_turn import ColdServerTurn


class ColdServerLimiter:
    """Allows one request to one server in each turn.

    Attributes:
        last_turn: Number of the latest turn that was used; None before the
            first one.
    """

    def __init__(self) -> None:
        self.last_turn: int | None = None

    def may_send(self, turn: ColdServerTurn) -> bool:
        """Whether a request may be sent in a turn."""
        return turn.is_open and turn.number != self.last_turn

    def mark_used(self, turn: ColdServerTurn) -> None:
        """Record that a request is sent in a turn."""
        self.last_turn = turn.number
