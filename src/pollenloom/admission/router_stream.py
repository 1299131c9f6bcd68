"""Message stream between a pool owner and one router, at the owner."""

from dataclasses import dataclass, field

from pollenloom.core.ids import AccountId, GrantId, ServerId


@dataclass(frozen=True, slots=True)
class SentGrant:
    """A grant that the router has not acknowledged.

    Attributes:
        grant_id: Grant.
        sequence: Number of the message that carries it.
        account: Client account of the grant.
        sent_at: When it was sent, monotonic seconds.
    """

    grant_id: GrantId
    sequence: int
    account: AccountId
    sent_at: float


@dataclass(slots=True)
class RouterStream:
    """State of the message stream with one router.

    Attributes:
        stream: Run of the router process that it belongs to.
        received: Highest number of the router's messages.
        acknowledged: Highest number of them that was acknowledged.
        unacknowledged_since: When the oldest unacknowledged one arrived,
            monotonic seconds; infinite if there is none.
        sent: Number of the last message to the router.
        in_transit: Grants that the router has not acknowledged.
        avoided_until: Servers that the router could not use, with the
            monotonic time until which it gets no grants for them.
    """

    stream: int
    received: int = 0
    acknowledged: int = 0
    unacknowledged_since: float = float('inf')
    sent: int = 0
    in_transit: list[SentGrant] = field(default_factory=list)
    avoided_until: dict[ServerId, float] = field(default_factory=dict)

    def receive(self, sequence: int, now: float) -> bool:
        """Record a message; return whether it is newer than all others."""
        if self.received == self.acknowledged:
            self.unacknowledged_since = now
        if sequence <= self.received:
            return False
        self.received = sequence
        return True

    def confirm(self, acknowledged: int) -> None:
        """Remove the grants that the router has received."""
        self.in_transit = [
            grant for grant in self.in_transit if grant.sequence > acknowledged
        ]

    def remove_lost(self, oldest: float) -> list[GrantId]:
        """Remove and return grants that were sent before `oldest`."""
        lost = [grant for grant in self.in_transit if grant.sent_at < oldest]
        self.in_transit = [
            grant for grant in self.in_transit if grant.sent_at >= oldest
        ]
        return [grant.grant_id for grant in lost]

    def in_transit_count(self, account: AccountId) -> int:
        """Number of an account's grants that its demand does not reflect."""
        return sum(1 for grant in self.in_transit if grant.account == account)

    def next_sequence(self) -> int:
        """Return the number of the next message to the router.

        That message acknowledges all received ones.
        """
        self.sent += 1
        self.acknowledged = self.received
        self.unacknowledged_since = float('inf')
        return self.sent
