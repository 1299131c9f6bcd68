"""Counts of how requests waited and were turned away within a period."""

from dataclasses import dataclass

from pollenloom.admission.caller_attempt import CallerAttempt


@dataclass(slots=True)
class WaitingActivity:
    """Counts of one service at one router.

    Attributes:
        waited_late: Requests that began to wait although they can only be
            late.
        sent_late: Requests of these that were sent.
        returned: Repeats after the time that a refusal stated.
        returned_early: Repeats before that time.
        told_to_return: Refusals that stated a time to return.
        return_seconds: Sum of these times.
        longest_return: Longest of them, in seconds.
    """

    waited_late: int = 0
    sent_late: int = 0
    returned: int = 0
    returned_early: int = 0
    told_to_return: int = 0
    return_seconds: float = 0
    longest_return: float = 0

    def record_attempt(self, attempt: CallerAttempt) -> None:
        """Count a request by which attempt of its caller it is."""
        self.returned += attempt is CallerAttempt.RETURNED
        self.returned_early += attempt is CallerAttempt.EARLY

    def record_return(self, seconds: float) -> None:
        """Count a refusal that states after which seconds to return."""
        self.told_to_return += 1
        self.return_seconds += seconds
        self.longest_return = max(self.longest_return, seconds)

    @property
    def mean_return(self) -> float:
        """Mean of the stated times to return, in seconds; 0 without any."""
        return self.return_seconds / max(1, self.told_to_return)

    def counts(self) -> dict[str, int]:
        """Return the numbers of requests, by what happened to them."""
        return {
            'waited_late': self.waited_late,
            'sent_late': self.sent_late,
            'returned': self.returned,
            'returned_early': self.returned_early,
            'told_to_return': self.told_to_return,
        }
