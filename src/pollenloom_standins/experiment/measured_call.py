"""A call as its caller observed it."""

from enum import Enum, unique

import msgspec

from pollenloom_standins.experiment.arrival import Arrival


@unique
class MeasuredCallOutcome(Enum):
    """How a call ended for its caller."""

    SERVED = 'served'
    REFUSED = 'refused'
    FAILED = 'failed'
    UNFINISHED = 'unfinished'


class MeasuredCall(msgspec.Struct, kw_only=True):
    """One call; times are in seconds since the start of the load.

    Attributes:
        arrival: The request that was sent.
        sent: When it was sent.
        ended: When it ended, or when the load was stopped; 0 before that.
        outcome: How it ended.
        detail: Status and start of the error response, or type of the
            client error; empty without an error.
        token_times: When each token arrived; for a call of the application,
            when the response arrived.
    """

    arrival: Arrival
    sent: float
    ended: float = 0
    outcome: MeasuredCallOutcome = msgspec.field(
        default=MeasuredCallOutcome.UNFINISHED,
        name='end',
    )
    detail: str = ''
    token_times: list[float] = msgspec.field(
        default_factory=list,
        name='tokens',
    )

    @property
    def waited_until(self) -> float:
        """Time of the first token, or of the end of a call without one."""
        return self.token_times[0] if self.token_times else self.ended

    @property
    def wait_seconds(self) -> float:
        """Seconds to the first token, or to the end of a call without one."""
        return self.waited_until - self.sent
