"""Limit on the requests that this router sends to a cold server."""

from pollenloom.routing.cold_server_turn import ColdServerTurn


class ColdServerLimiter:
    """Allows one request to one server in each turn.

    Attributes:
        last_turn: Number of the latest turn that was used; None before the
            first one.
        used_at: When it was used, monotonic seconds.
    """

    def __init__(self) -> None:
        self.last_turn: int | None = None
        self.used_at = float('-inf')

    def may_send(self, turn: ColdServerTurn, now: float) -> bool:
        """Whether a request may be sent in a turn at `now`, monotonic."""
        if not turn.is_open or turn.number == self.last_turn:
            return False
        return now - self.used_at >= turn.gap_seconds

    def mark_used(self, turn: ColdServerTurn, now: float) -> None:
        """Record that a request is sent in a turn at `now`, monotonic."""
        self.last_turn = turn.number
        self.used_at = now
