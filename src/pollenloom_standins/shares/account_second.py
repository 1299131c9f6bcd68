"""What a client account asked and got of a fleet in one second."""

from dataclasses import dataclass


@dataclass(slots=True)
class AccountSecond:
    """What an account asked and got; costs in the unit of the service.

    Attributes:
        asked: Cost of the requests that came in.
        sent: Cost of the requests that were sent to servers.
        begun: Cost of the requests whose first byte arrived.
        refused: Requests that were refused.
        late: Requests that began or ended after their objective.
        largest: Cost of the largest request.
        beyond: Cost that was refused as beyond the share.
        no_room: Cost that was refused for lack of room within the share.
        not_begun: Cost that was sent and did not begin.
        repeated: Cost that began by requests that had been sent before.
        surplus: Cost that began beyond the share.
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

    @property
    def is_short(self) -> bool:
        """Whether a request was refused or waited longer than it should."""
        return bool(self.refused or self.late)

    def add(self, other: 'AccountSecond') -> None:
        """Add what the account asked and got at another router."""
        self.asked += other.asked
        self.sent += other.sent
        self.begun += other.begun
        self.refused += other.refused
        self.late += other.late
        self.largest = max(self.largest, other.largest)
        self.beyond += other.beyond
        self.no_room += other.no_room
        self.not_begun += other.not_begun
        self.repeated += other.repeated
        self.surplus += other.surplus
