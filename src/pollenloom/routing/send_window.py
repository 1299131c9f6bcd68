"""How much unread prompt may wait at one server before more is sent."""

from typing import Final

# Tokens that a server reads in a second while it also generates.
PREFILL_RATE: Final = 66_000.0
# Tokens; the first is a queue of some 0.2 s.
FIRST_WINDOW: Final = 25_000.0
SMALLEST_WINDOW: Final = 10_000.0
LARGEST_WINDOW: Final = 150_000.0
# The queue at a server may take this part of the tightest objective; the rest
# is for reading the prompt itself and for waiting at the router.
QUEUE_SHARE: Final = 0.6
DECREASE: Final = 0.85
INCREASE: Final = 1.03
# One queue delays many answers; it is one reason to send less.
DECREASE_PAUSE_SECONDS: Final = 0.25


class SendWindow:
    """Limit on a server's queue, adapted to the time that it costs.

    Servers take requests in the order of their arrival, so what must wait
    waits at the routers, in fair order. All routers see the same queues and
    adapt alike. The limit is on what is ahead of a request, not on its own
    size, so that large prompts are sent as readily as small ones.

    Attributes:
        limit: Unread tokens at the server up to which more is sent.
        outstanding: Unread tokens of this router.
    """

    def __init__(self) -> None:
        self.limit = FIRST_WINDOW
        self.outstanding: float = 0
        self.decreased_at = float('-inf')

    def has_room(self, unread_elsewhere: float) -> bool:
        """Whether one more request may be sent."""
        unread = self.outstanding + unread_elsewhere
        return not unread or unread < self.limit

    def sent(self, cost: float) -> None:
        """Count a request that is sent."""
        self.outstanding += cost

    def released(self, cost: float) -> None:
        """Count a request whose first byte or end came."""
        self.outstanding = max(0, self.outstanding - cost)

    def observe(
        self,
        seconds: float,
        cost: float,
        objective: float,
        now: float,
    ) -> None:
        """Adapt the limit to the time to a first byte.

        `objective` is the tightest of the service, in seconds.
        """
        queued = seconds - cost / PREFILL_RATE
        if queued <= objective * QUEUE_SHARE:
            if self.outstanding > self.limit / 4:
                self.limit = min(LARGEST_WINDOW, self.limit * INCREASE)
            return
        if now - self.decreased_at < DECREASE_PAUSE_SECONDS:
            return
        self.decreased_at = now
        self.limit = max(SMALLEST_WINDOW, self.limit * DECREASE)
