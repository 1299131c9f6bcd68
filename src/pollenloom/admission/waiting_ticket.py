"""A ticket that waits for room on this router."""

from dataclasses import dataclass
from typing import Final

from pollenloom.admission.caller_attempt import CallerAttempt
from pollenloom.admission.share_class import ShareClass
from pollenloom.admission.ticket import Ticket

# A prompt whose shared prefix has at least `LONG_PREFIX_TOKENS` waits only for
# its preferred servers, which probably have the prefix cached, during
# `STICKY_WAIT_SHARE` of its objective.
LONG_PREFIX_TOKENS: Final = 1500
STICKY_WAIT_SHARE: Final = 0.7


@dataclass(eq=False, slots=True)
class WaitingTicket:
    """A ticket that waits for room.

    Attributes:
        ticket: The ticket.
        since: When it came in, monotonic seconds.
        share_class: Class by the share of its account.
        attempt: Which attempt of its caller it is.
        age: Seconds from the first attempt of its caller until it came in.
        start_by: Until when it has to be sent to meet its objective, monotonic
            seconds.
        is_behind: Whether it waits behind all that can still be in time.
    """

    ticket: Ticket
    since: float
    share_class: ShareClass = ShareClass.WITHIN
    attempt: CallerAttempt = CallerAttempt.FIRST
    age: float = 0
    start_by: float = float('inf')
    is_behind: bool = False

    def is_sticky(self, now: float) -> bool:
        """Whether it still waits for its preferred servers only."""
        is_long = self.ticket.shared_tokens >= LONG_PREFIX_TOKENS
        return is_long and (
            now - self.since < self.ticket.objective * STICKY_WAIT_SHARE
        )

    @property
    def needs_idle_room(self) -> bool:
        """Whether it may only use room that is idle at a server.

        Late requests are held back by the room of the whole fleet instead.
        """
        return self.share_class is not ShareClass.WITHIN and not self.is_behind

    def is_late(self, now: float) -> bool:
        """Whether it has waited longer than its objective, if it has one."""
        objective = self.ticket.objective
        return objective > 0 and now - self.since + self.age > objective
