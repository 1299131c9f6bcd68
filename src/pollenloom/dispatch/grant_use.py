"""Record of the use of a grant until its settlement."""

from dataclasses import dataclass

from pollenloom.admission.grant import Grant
from pollenloom.admission.settlement import Settlement
from pollenloom.core.states import Outcome


@dataclass(slots=True)
class GrantUse:
    """Use of one grant, updated by the client and the dispatcher.

    Attributes:
        grant: The grant.
        started_at: Monotonic time at which sending started, in seconds.
        events_before: Number of events relayed by earlier attempts.
        connected: Whether there was a connection, so that bytes of the request
            may have reached the server.
        response_complete: Whether the response was read to its end.
        first_byte_at: Monotonic time in seconds of the first byte of the
            response; None before it arrives.
        outcome: How the use ended; cancelled until it is known.
        cost: Actual cost in the unit of the resource.
        server_cold: Whether the server reported that it is cold.
        server_leaving: Whether the server reported that it is leaving.
        server_fenced: Whether the server rejected the fencing number.
    """

    grant: Grant
    started_at: float
    events_before: int = 0
    connected: bool = False
    response_complete: bool = False
    first_byte_at: float | None = None
    outcome: Outcome = Outcome.CANCELLED
    cost: float = 0
    server_cold: bool = False
    server_leaving: bool = False
    server_fenced: bool = False

    def settlement(self, now: float) -> Settlement:
        """Return the settlement for admission at monotonic time `now`."""
        outcome = self.outcome
        if outcome is Outcome.CANCELLED and not self.connected:
            outcome = Outcome.UNUSED
        if outcome is Outcome.UNUSED:
            return Settlement(grant=self.grant, outcome=outcome)
        return Settlement(
            grant=self.grant,
            outcome=outcome,
            cost=self.cost,
            first_byte_seconds=self.first_byte_seconds(),
            duration_seconds=now - self.started_at,
            server_cold=self.server_cold,
            server_leaving=self.server_leaving,
            server_fenced=self.server_fenced,
        )

    def first_byte_seconds(self) -> float | None:
        """Seconds from sending to the first byte; None if there was none."""
        if self.first_byte_at is None:
            return None
        return self.first_byte_at - self.started_at
