"""What one client account asked and got within a period."""

from dataclasses import dataclass


@dataclass(slots=True)
class AccountActivity:
    """What an account asked and got of one service at one router.

    Costs are what callers expect, in the unit of the service's resource.

    Attributes:
        asked: Cost of the requests that came in.
        sent: Cost of the requests that were sent to a server.
        begun: Cost of the requests whose first byte arrived.
        refused: Requests that were refused, at once or after a wait.
        late: Requests whose first byte, or whose end without one, came after
            their objective.
        largest: Cost of the largest request that came in.
        beyond: Cost of the requests that were refused as beyond the share.
        no_room: Cost of the requests that were refused for lack of room,
            although they were within the share.
        not_begun: Cost of the requests that were sent and ended without a
            first byte.
        repeated: Cost that began by requests that had been sent before.
        surplus: Cost that began beyond the share, in idle room.
    """

    asked: float = 0
    sent: float = 0
    begun: float = 0
    refused: int = 0
    late: int = 0
    largest: float = 0
    beyond: float = 0
    no_room: float = 0
    not_begun: float = 0
    repeated: float = 0
    surplus: float = 0
