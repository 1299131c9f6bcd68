"""What a pool owner knows of its conversation with one router."""

from dataclasses import dataclass, field

from pollenloom.core.ids import AccountId, GrantId, ServerId


@dataclass(frozen=True, slots=True)
class SentGrant:
    """A grant that the router may not have received yet."""

    grant_id: GrantId
    sequence: int
    account: AccountId
    sent_at: float


@dataclass(slots=True)
class RouterStream:
    """State of the conversation with one router.

    Attributes:
        stream: Life of the router that it belongs to.
        received: Highest number of the router's messages.
        acknowledged: Highest number of them that was acknowledged.
        acknowledge_from: When the oldest unacknowledged one came.
        sent: Number of the last message to the router.
        on_the_way: Grants that the router has not acknowledged.
        avoid: Servers that the router could not use, and until when.
    """

    stream: int
    received: int = 0
    acknowledged: int = 0
    unacknowledged_since: float = float('inf')
    sent: int = 0
    in_transit: list[SentGrant] = field(default_factory=list)
    avoided_until: dict[ServerId, float] = field(default_factory=dict)

    def receive(self, sequence: int, now: float) -> bool:
        """Note a message; return whether it is newer than all others."""
        if self.received == self.acknowledged:
            self.unacknowledged_since = now
        if sequence <= self.received:
            return False
        self.received = sequence
        return True

    def confirm(self, acknowledged: int) -> None:
        """Forget grants that arrived."""
        self.in_transit = [
            grant for grant in self.in_transit if grant.sequence > acknowledged
        ]

    def remove_lost(self, oldest: float) -> list[GrantId]:
        """Forget and return grants that were sent before `oldest`."""
        lost = [grant for grant in self.in_transit if grant.sent_at < oldest]
        self.in_transit = [
            grant for grant in self.in_transit if grant.sent_at >= oldest
        ]
        return [grant.grant_id for grant in lost]

    def in_transit_count(self, account: AccountId) -> int:
        """Grants on the way that the router's demand does not show."""
        return sum(1 for grant in self.in_transit if grant.account == account)

    def next_sequence(self) -> int:
        """Number of the next message; it acknowledges all received ones."""
        self.sent += 1
        self.acknowledged = self.received
        self.unacknowledged_since = float('inf')
        return self.sent
