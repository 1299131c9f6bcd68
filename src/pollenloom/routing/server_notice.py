"""What a backend server states of itself in the head of a response."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """Statements of a server besides its response.

    Attributes:
        is_leaving: Whether the server is about to stop.
        rate_limit: Requests a second that it takes from all routers together;
            None if it names no limit.
        is_rejection: Whether the request was not run. A rejection need not
            repeat the limit.
    """

    is_leaving: bool = False
    rate_limit: float | None = None
    is_rejection: bool = False

    @property
    def states_limit(self) -> bool:
        """Whether the limit, or that there is none, is known from this."""
        return self.rate_limit is not None or not self.is_rejection
