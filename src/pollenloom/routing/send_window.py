"""Limit on the unread prompt tokens that wait at one server."""

from typing import Final

# Prompt tokens that a server reads in a second while it also generates.
PREFILL_TOKENS_PER_SECOND: Final = 66_000.0
# Windows in tokens; the first one fits a queue of about 0.2 s.
INITIAL_WINDOW_TOKENS: Final = 25_000.0
MIN_WINDOW_TOKENS: Final = 10_000.0
MAX_WINDOW_TOKENS: Final = 150_000.0
# Part of the shortest objective that the queue at a server may take. The rest
# is for reading the prompt itself and for waiting at the router.
QUEUE_SHARE: Final = 0.6
DECREASE_FACTOR: Final = 0.85
INCREASE_FACTOR: Final = 1.03
# One queue delays many responses, but must decrease the limit only once.
DECREASE_INTERVAL_SECONDS: Final = 0.25


class SendWindow:
    """Limit on a server's queue, adapted to the delay that it causes.

    Servers process requests in order of arrival, so requests that must wait
    do so at the routers, which keep a fair order. Each router adapts to the
    responses that it sees; `WindowAlignment` keeps the limits of all routers
    together. The limit applies to the tokens ahead of a request, not to its
    own size, so that large prompts are not at a disadvantage.

    Attributes:
        limit: Unread tokens at the server below which more may be sent.
        outstanding: Unread tokens at the server that this router sent.
        decreased_at: When the limit was last decreased, monotonic seconds.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_WINDOW_TOKENS
        self.outstanding: float = 0
        self.decreased_at = float('-inf')

    def has_room(self, remote_unread: float) -> bool:
        """Whether one more request may be sent.

        `remote_unread` is the number of unread tokens that other routers have
        sent to the server.
        """
        unread = self.outstanding + remote_unread
        return not unread or unread < self.limit

    def scale(self, factor: float) -> None:
        """Multiply the limit by a factor, within its bounds."""
        self.limit = bounded_window(self.limit * factor)

    def sent(self, cost: float) -> None:
        """Add the tokens of a request that is sent."""
        self.outstanding += cost

    def released(self, cost: float) -> None:
        """Subtract the tokens of a request at its first byte or end."""
        self.outstanding = max(0, self.outstanding - cost)

    def observe(
        self,
        first_byte_seconds: float,
        cost: float,
        objective: float,
        now: float,
    ) -> None:
        """Adapt the limit to the time to the first byte of a response.

        Args:
            first_byte_seconds: Time from sending to the first byte.
            cost: Prompt tokens of the request.
            objective: Shortest objective of the service, seconds.
            now: Monotonic seconds.
        """
        queue_seconds = first_byte_seconds - cost / PREFILL_TOKENS_PER_SECOND
        if queue_seconds <= objective * QUEUE_SHARE:
            if self.outstanding > self.limit / 4:
                self.limit = min(
                    MAX_WINDOW_TOKENS, self.limit * INCREASE_FACTOR
                )
            return
        if now - self.decreased_at < DECREASE_INTERVAL_SECONDS:
            return
        self.decreased_at = now
        self.limit = max(MIN_WINDOW_TOKENS, self.limit * DECREASE_FACTOR)


def bounded_window(tokens: float) -> float:
    """Return a limit within the bounds of all windows."""
    return min(MAX_WINDOW_TOKENS, max(MIN_WINDOW_TOKENS, tokens))
