"""Record that a router keeps of a grant until it is settled."""

from dataclasses import dataclass

from pollenloom.admission.placement import Placement


@dataclass(slots=True)
class HeldGrant:
    """An unsettled grant.

    Attributes:
        placement: Server and cost of the grant.
        has_first_byte: Whether the first byte of the response arrived; from
            then on the prompt no longer counts against the server's send
            window.
    """

    placement: Placement
    has_first_byte: bool = False
