"""What a router knows of its conversation with the owner of one pool."""

from dataclasses import dataclass, field

from pollenloom.admission.messages import SettledGrant
from pollenloom.core.ids import AccountId, GrantId, PoolId, VmId

# The owner learns from a count of this size that there is work enough until
# the demand is repeated.
COUNT_SHOWN = 4
UNKNOWN_COUNT = -1


@dataclass(slots=True)
class OpenSettlement:
    """A settlement that the owner did not acknowledge.

    Attributes:
        settled: What is reported.
        sequence: Message that carried it last; 0 before the first.
        sent_at: When that was, monotonic seconds.
    """

    settled: SettledGrant
    sequence: int = 0
    sent_at: float = float('-inf')


@dataclass(slots=True)
class PoolLink:
    """State of one pool at one router.

    Attributes:
        pool: Pool.
        owner: Owner that demand is sent to.
        sequence: Number of the last message to an owner; never restarts.
        received: Highest number of the owner's messages.
        missed: Whether a number was left out since the last message.
        epoch: Fencing number that `received` belongs to.
        valid_from: Grants that answer an earlier message are too old.
        stated: Waiting requests the owner knows of, by account.
        changed: Accounts whose demand is to be stated.
        stated_at: When all demand was last stated.
        settlements: What the owner has to acknowledge.
    """

    pool: PoolId
    owner: VmId
    sequence: int = 0
    received: int = 0
    missed: bool = False
    epoch: int = 0
    valid_from: int = 0
    stated: dict[AccountId, int] = field(default_factory=dict)
    changed: set[AccountId] = field(default_factory=set)
    stated_at: float = float('-inf')
    settlements: dict[GrantId, OpenSettlement] = field(default_factory=dict)

    def follow(self, owner: VmId, accounts: set[AccountId]) -> None:
        """Talk to another owner, which knows nothing of what was said."""
        self.owner = owner
        self.restate(accounts)
        for settlement in self.settlements.values():
            settlement.sent_at = float('-inf')

    def restate(self, accounts: set[AccountId]) -> None:
        """State the demand of these accounts with the next message."""
        known = {
            account for account, waiting in self.stated.items() if waiting > 0
        }
        self.changed |= accounts | known
        self.stated.clear()
        # Differs from any count, so that a demand of 0 is stated too.
        self.stated.update(dict.fromkeys(self.changed, UNKNOWN_COUNT))

    def receive(self, epoch: int, sequence: int) -> bool:
        """Note a message of the owner; return whether it is new."""
        if epoch != self.epoch:
            self.epoch = epoch
            self.received = 0
        if sequence <= self.received:
            return False
        self.missed = self.missed or sequence > self.received + 1
        self.received = sequence
        return True

    def acknowledge(self, sequence: int) -> None:
        """Forget the settlements that the owner has received."""
        for grant_id, settlement in tuple(self.settlements.items()):
            if 0 < settlement.sequence <= sequence:
                self.settlements.pop(grant_id)

    def differs(self, account: AccountId, waiting: int) -> bool:
        """Whether the owner has to be told a new count now."""
        stated = self.stated.get(account, 0)
        return min(stated, COUNT_SHOWN) != min(waiting, COUNT_SHOWN)

    def due_settlements(self, oldest: float) -> list[OpenSettlement]:
        """Settlements not sent since `oldest`."""
        return [
            settlement
            for settlement in self.settlements.values()
            if settlement.sent_at <= oldest
        ]
