"""Record that a router keeps of a grant until it is settled."""

from dataclasses import dataclass

from pollenloom.admission.placement import Placement
from pollenloom.admission.waiting_ticket import WaitingTicket


@dataclass(slots=True)
class HeldGrant:
    """An unsettled grant.

    Attributes:
        waiting: The request.
        placement: Server and cost of the grant.
        granted_at: Monotonic seconds.
        has_first_byte: Whether the first byte of the response arrived; from
            then on the prompt no longer counts against the server's send
            window.
    """

    waiting: WaitingTicket
    placement: Placement
    granted_at: float
    has_first_byte: bool = False
