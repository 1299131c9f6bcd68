"""State of a router's messages to and from the owner of one pool."""

from dataclasses import dataclass, field

from pollenloom.admission.messages import SettledGrant
from pollenloom.core.ids import AccountId, GrantId, PoolId, VmId

# Waiting requests of an account that are described to the owner. A count of
# this size shows that there is enough work until the demand is repeated, so
# larger counts are not reported at once.
MAX_REPORTED_WAITING = 4
# Differs from any count, so that a demand of 0 is reported too.
UNKNOWN_COUNT = -1


@dataclass(slots=True)
class OpenSettlement:
    """A settlement that the owner has not acknowledged.

    Attributes:
        settled: Settlement to report.
        sequence: Number of the last message with it; 0 before the first.
        sent_at: When that message was sent, monotonic seconds.
    """

    settled: SettledGrant
    sequence: int = 0
    sent_at: float = float('-inf')


@dataclass(slots=True)
class PoolLink:
    """Link from this router to the owner of one pool.

    Attributes:
        pool: Id of the pool.
        owner: VM that demand is sent to.
        sequence: Number of the last message sent; never restarts.
        received: Highest number of a message from the owner.
        missed: Whether messages of the owner were lost since the last message
            sent.
        epoch: Fencing number of the owner that `received` belongs to.
        valid_from_sequence: Number of the first message whose grants are still
            accepted.
        reported: Waiting requests that the owner knows of, by account.
        changed: Accounts whose demand has to be checked or reported.
        reported_at: When all demand was last reported, monotonic seconds.
        settlements: Settlements that the owner has not acknowledged.
    """

    pool: PoolId
    owner: VmId
    sequence: int = 0
    received: int = 0
    missed: bool = False
    epoch: int = 0
    valid_from_sequence: int = 0
    reported: dict[AccountId, int] = field(default_factory=dict)
    changed: set[AccountId] = field(default_factory=set)
    reported_at: float = float('-inf')
    settlements: dict[GrantId, OpenSettlement] = field(default_factory=dict)

    def switch_owner(self, owner: VmId, accounts: set[AccountId]) -> None:
        """Switch to another owner, which has received nothing so far."""
        self.owner = owner
        self.report_again(accounts)
        for settlement in self.settlements.values():
            settlement.sent_at = float('-inf')

    def report_again(self, accounts: set[AccountId]) -> None:
        """Mark the demand of accounts to be reported, changed or not.

        These are the given accounts and those with demand at the owner.
        """
        known = {
            account for account, waiting in self.reported.items() if waiting > 0
        }
        self.changed |= accounts | known
        self.reported.clear()
        self.reported.update(dict.fromkeys(self.changed, UNKNOWN_COUNT))

    def receive(self, epoch: int, sequence: int) -> bool:
        """Record a message of the owner; return whether it is new."""
        if epoch != self.epoch:
            self.epoch = epoch
            self.received = 0
        if sequence <= self.received:
            return False
        self.missed = self.missed or sequence > self.received + 1
        self.received = sequence
        return True

    def acknowledge(self, sequence: int) -> None:
        """Remove settlements sent up to a message that the owner received."""
        for grant_id, settlement in tuple(self.settlements.items()):
            if 0 < settlement.sequence <= sequence:
                self.settlements.pop(grant_id)

    def needs_report(self, account: AccountId, waiting: int) -> bool:
        """Whether a new count has to be reported to the owner now."""
        reported = self.reported.get(account, 0)
        return min(reported, MAX_REPORTED_WAITING) != min(
            waiting, MAX_REPORTED_WAITING
        )

    def due_settlements(self, oldest: float) -> list[OpenSettlement]:
        """Return the settlements that were not sent after `oldest`."""
        return [
            settlement
            for settlement in self.settlements.values()
            if settlement.sent_at <= oldest
        ]
