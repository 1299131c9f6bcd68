"""What a router keeps of a grant until it is settled."""

from dataclasses import dataclass

from pollenloom.admission.placement import Placement


@dataclass(slots=True)
class HeldGrant:
    """Placement of a grant.

    Attributes:
        is_read: Whether the first byte of the answer came, so that the prompt
            no longer counts against the server's window.
    """

    placement: Placement
    is_read: bool = False
