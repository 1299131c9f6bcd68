"""How long a request may wait for an answer that can only be late.

Answers crests of some seconds: a request that finds no room in time may find
some after its objective and before its caller leaves.
"""

from abc import ABC, abstractmethod
from typing import Final

from pollenloom.admission.waiting_ticket import WaitingTicket
from pollenloom.core.states import Resource

# Callers of model routes leave if they got nothing for the longer of these two
# times; other callers wait until their deadline.
PATIENCE_SECONDS: Final = 2.0
PATIENCE_OBJECTIVES: Final = 4.0
# Part of the time left that a request may be held. Its caller is worse off if
# it is refused after a long wait, as less time is left for another attempt.
HELD_SHARE: Final = 0.25


class LateService(ABC):
    """Whether requests that can only be late may wait."""

    @abstractmethod
    def wait_seconds(self, waiting: WaitingTicket, now: float) -> float:
        """Return how long a request may wait from now; 0 to refuse it.

        Args:
            waiting: A request that can't be in time.
            now: Monotonic seconds.
        """


class NoLateService(LateService):
    """Requests that can't be in time are refused."""

    def wait_seconds(self, waiting: WaitingTicket, now: float) -> float:
        """Return 0."""
        return 0


class LateWhileCallerWaits(LateService):
    """Requests wait while their callers do, for a part of the time left."""

    def wait_seconds(self, waiting: WaitingTicket, now: float) -> float:
        """Return how long a request may wait; see `LateService`."""
        ticket = waiting.ticket
        held_until = waiting.since + HELD_SHARE * (
            ticket.deadline - waiting.since
        )
        leaves_at = ticket.deadline
        if ticket.resource is Resource.MODEL:
            patience = max(
                PATIENCE_SECONDS, PATIENCE_OBJECTIVES * ticket.objective
            )
            leaves_at = min(leaves_at, waiting.since + patience)
        # The server takes about the objective until the first byte.
        start_by = min(held_until, leaves_at - ticket.objective)
        return max(0, start_by - now)
