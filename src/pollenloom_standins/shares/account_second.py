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
    """

    asked: float = 0
    sent: float = 0
    begun: float = 0
    refused: int = 0
    late: int = 0
    largest: float = 0

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
