"""What a caller saw of one request."""

from enum import Enum, unique

import msgspec

from pollenloom_standins.experiment.arrival import Arrival


@unique
class CallEnd(Enum):
    """How a call ended for its caller."""

    SERVED = 'served'
    REFUSED = 'refused'
    FAILED = 'failed'
    UNFINISHED = 'unfinished'


class ArrivalRecord(msgspec.Struct, kw_only=True):
    """Times are seconds since the start of the load.

    Attributes:
        arrival: The request.
        sent: When it was sent.
        ended: When it ended, or when the load was stopped.
        end: How it ended.
        detail: Status and kind of the problem, if any.
        tokens: When each token came; for a read the time of the answer.
    """

    arrival: Arrival
    sent: float
    ended: float = 0
    end: CallEnd = CallEnd.UNFINISHED
    detail: str = ''
    tokens: list[float] = msgspec.field(default_factory=list)

    @property
    def waited_until(self) -> float:
        """When the wait for the first token ended."""
        return self.tokens[0] if self.tokens else self.ended

    @property
    def wait_seconds(self) -> float:
        """Time to the first token, or the time waited without one."""
        return self.waited_until - self.sent
