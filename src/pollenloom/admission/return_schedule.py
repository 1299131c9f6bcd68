"""When refused callers are told to return.

Answers jumps in which many requests are refused at the same moment: callers
that are told the same time come back together, as a second jump.
"""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from pollenloom.admission.admission_refusal import AdmissionRefusal
from pollenloom.admission.ticket import Ticket

if TYPE_CHECKING:
    from pollenloom.core.ids import AccountId

# A caller that returns sooner finds the same queue.
MIN_RETURN_SECONDS: Final = 0.3
# Callers wait as told for at most this part of the time that they have left.
HONOURED_SHARE: Final = 1 / 3


class ReturnTimes(ABC):
    """Time after which a refused caller is told to return."""

    @abstractmethod
    def seconds(
        self,
        ticket: Ticket,
        refusal: AdmissionRefusal,
        room_per_second: float,
        now: float,
    ) -> float:
        """Return the seconds to state in a refusal.

        Args:
            ticket: The refused request.
            refusal: Why it is refused.
            room_per_second: Cost per second for which room comes at this
                router to requests of the account that return.
            now: Monotonic seconds.
        """

    def forget(self, now: float) -> None:
        """Drop what is no longer needed at `now`, monotonic seconds."""


class ExpectedWait(ReturnTimes):
    """Each caller returns after the wait that its own request would have."""

    def seconds(
        self,
        ticket: Ticket,
        refusal: AdmissionRefusal,
        room_per_second: float,
        now: float,
    ) -> float:
        """Return the expected wait; see `ReturnTimes`."""
        return max(MIN_RETURN_SECONDS, refusal.wait_seconds)


class ReturnSchedule(ReturnTimes):
    """Callers return one after the other, as room for them comes.

    The planned returns of an account are in the order in which its requests
    were refused, as far apart as room for them comes. A caller returns after a
    third of its time at the latest, whatever it is told, so a later time than
    that is not planned.

    Attributes:
        free_at: From when there is room for the next return, by account.
    """

    def __init__(self) -> None:
        self.free_at: dict[AccountId, float] = {}

    def seconds(
        self,
        ticket: Ticket,
        refusal: AdmissionRefusal,
        room_per_second: float,
        now: float,
    ) -> float:
        """Return the seconds until the planned return; see `ReturnTimes`."""
        earliest = now + max(MIN_RETURN_SECONDS, refusal.wait_seconds)
        longest = max(
            MIN_RETURN_SECONDS, (ticket.deadline - now) * HONOURED_SHARE
        )
        planned = max(earliest, self.free_at.get(ticket.account, 0))
        planned = min(planned, now + longest)
        duration = longest
        if room_per_second > 0:
            duration = min(longest, ticket.cost_hint / room_per_second)
        self.free_at[ticket.account] = planned + duration
        return planned - now

    def forget(self, now: float) -> None:
        """Drop accounts without a planned return."""
        self.free_at = {
            account: free_at
            for account, free_at in self.free_at.items()
            if free_at > now
        }
