"""Which requests of client accounts are within the shares of the accounts."""

import math
from typing import Final

from pollenloom.admission.admission_refusal import AdmissionRefusal
from pollenloom.admission.refusal_cause import RefusalCause
from pollenloom.admission.share_class import ShareClass
from pollenloom.core.ids import AccountId, VmId
from pollenloom.routing.account_usage import DECAY_SECONDS, AccountUsage
from pollenloom.routing.decaying_count import DecayingCount
from pollenloom.routing.fair_level import fair_level
from pollenloom.routing.router_phase import router_phase

# Load reports come every 0.1 s.
LEVEL_SECONDS: Final = 0.1
# Part of the room of servers that requests within shares are to fill. With all
# of it, most requests would begin later than their objective, as all routers
# send to what becomes free; the rest also lets the estimate grow.
TARGET_ROOM: Final = 0.8
# Part of the room of servers that counts as taken at least: what begins can't
# grow by more within the time in which it is measured.
SMALLEST_USED_ROOM: Final = 0.3
# Servers with more free room are idle, and requests beyond shares are taken on.
IDLE_ROOM: Final = 0.5
# An account may use idle room for this part of its share beyond it. Without a
# bound the account that asks most would get all idle room.
SURPLUS_SHARE: Final = 0.25
# If less than this part of the demand begins, the servers have only come back,
# and what began says nothing about their capacity.
MIN_BEGUN_PART: Final = 0.02
# Requests that an account may owe or be owed at one router. Many requests end
# at once when a server crashes; without a bound, what is owed for them would
# decide on the account's requests for several seconds.
MAX_OWED_REQUESTS: Final = 8.0
# An account beyond its share has less demand left after at most this time.
MAX_RETRY_SECONDS: Final = 2.0


class AccountShares:
    """Divides the capacity of a service among accounts, alike on all routers.

    All routers know the same sums: what each account asked for lately, and
    what began over the fleet. From these follows the part of an account's
    requests that is within its share. Each router takes on this part of the
    requests that come in there, so that an account gets the same share
    whichever routers its callers use.

    Attributes:
        vm: This router.
        usage: Cost of the requests that were sent, by account.
        refused: Cost of the requests that were refused, by account.
        begun: Cost of the requests that began to be answered on this router.
        level: Demand up to which an account is within its share; None while
            no account takes capacity from another.
        level_expires_at: When the level is computed again, monotonic seconds.
        taken_room: Part of the room of the servers that was taken then.
        local_rate: Cost per second of the requests on this router that are
            within the shares of their accounts.
        within_credit: Requests within the share that an account has saved up,
            by account beyond the level; negative after repeats.
        surplus_credit: The same for surplus requests.
    """

    def __init__(
        self, vm: VmId, usage: AccountUsage, refused: AccountUsage
    ) -> None:
        self.vm = vm
        self.usage = usage
        self.refused = refused
        self.begun = DecayingCount(DECAY_SECONDS)
        self.level: float | None = None
        self.level_expires_at = float('-inf')
        self.taken_room: float = 1
        self.local_rate: float = 0
        self.within_credit: dict[AccountId, float] = {}
        self.surplus_credit: dict[AccountId, float] = {}

    @property
    def is_idle(self) -> bool:
        """Whether the servers have so much room that nobody lacks any."""
        return self.taken_room < IDLE_ROOM

    @property
    def has_late_room(self) -> bool:
        """Whether servers have room that requests in time do not need.

        The room of the whole fleet counts, as other routers may have requests
        that can still be in time.
        """
        return self.taken_room < TARGET_ROOM

    def is_due(self, now: float) -> bool:
        """Whether the level is older than a load report."""
        return now >= self.level_expires_at

    def update(
        self, remote_begun: float, taken_room: float, now: float
    ) -> None:
        """Compute the level.

        Servers of which a part of the room is free can serve so much more than
        what begins. Without that, a time of less capacity would be followed by
        one in which requests are refused although servers have room.

        Args:
            remote_begun: Recent cost that began on the other routers.
            taken_room: Part of the room of the servers that is taken.
            now: Monotonic seconds.
        """
        self.taken_room = taken_room
        self.level_expires_at = now + LEVEL_SECONDS
        usage = self.usage.totals(now)
        refused = self.refused.totals(now)
        begun = self.begun.at(now) + remote_begun
        demand = sum(usage.values()) + sum(refused.values())
        self.level = None
        if begun >= MIN_BEGUN_PART * demand:
            used = min(1, max(SMALLEST_USED_ROOM, taken_room))
            capacity = begun * TARGET_ROOM / used
            self.level = fair_level(usage, refused, capacity)
        accounts = {**self.usage.local, **self.refused.local}
        self.local_rate = (
            sum(
                self.local_demand(account) * self.part_within(account)
                for account in accounts
            )
            / DECAY_SECONDS
        )

    def demand(self, account: AccountId) -> float:
        """Return the recent demand of an account over the fleet, in cost."""
        return self.usage.total(account) + self.refused.total(account)

    def local_demand(self, account: AccountId) -> float:
        """Return the recent demand of an account on this router, in cost."""
        sent = self.usage.local.get(account, 0)
        return sent + self.refused.local.get(account, 0)

    def part_within(self, account: AccountId) -> float:
        """Return the part of an account's requests within its share, 0 to 1."""
        if self.level is None:
            return 1
        demand = self.demand(account)
        return 1 if demand <= self.level else self.level / demand

    def classify(self, account: AccountId) -> ShareClass:
        """Return the class of a new request of an account.

        Requests are counted, not weighed, so that large ones are not refused
        more often than small ones.
        """
        part = self.part_within(account)
        if part >= 1:
            self.within_credit.pop(account, None)
            self.surplus_credit.pop(account, None)
            return ShareClass.WITHIN
        if self.spend(self.within_credit, account, part):
            return ShareClass.WITHIN
        surplus = min(1, part * SURPLUS_SHARE / (1 - part))
        if self.spend(self.surplus_credit, account, surplus):
            return ShareClass.SURPLUS
        return ShareClass.BEYOND

    def take_repeat(self, account: AccountId) -> None:
        """Let in a request that was sent before, at the expense of new ones.

        A repeat begins once more. If it were free, a crash of servers would
        give most to the account that had most requests there.
        """
        self.correct_credit(account, -1)

    def give_back(self, account: AccountId) -> None:
        """Return the credit of a request that was sent and did not begin.

        One that found no room is not made up for: replaced by another one at
        once, routers would let in more than there is room for.
        """
        self.correct_credit(account, 1)

    def correct_credit(self, account: AccountId, requests: float) -> None:
        """Add requests to the credit of an account beyond the level."""
        credit = self.within_credit.get(account)
        if credit is None:
            return
        self.within_credit[account] = max(
            -MAX_OWED_REQUESTS, min(MAX_OWED_REQUESTS, credit + requests)
        )

    def spend(
        self, saved: dict[AccountId, float], account: AccountId, part: float
    ) -> bool:
        """Add a part of a request to a credit; whether it covers a request.

        The first credit differs between routers, as all of them would
        otherwise refuse the first requests of an account with many callers.
        """
        credit = saved.get(account)
        if credit is None:
            credit = router_phase(self.vm, account)
        credit += part
        is_covered = credit >= 1
        saved[account] = credit - 1 if is_covered else credit
        return is_covered

    def refuse(self, account: AccountId) -> AdmissionRefusal:
        """Return the refusal of a request beyond the share of its account."""
        demand = self.demand(account)
        return AdmissionRefusal(
            RefusalCause.BEYOND_SHARE,
            f'account asks for {demand:.0f}, '
            f'its share is {self.level or 0:.0f}',
            self.retry_seconds(account),
        )

    def return_rate(self, account: AccountId) -> float:
        """Return the room for requests of an account that return here.

        That is the share of the account, of which this router gets as much as
        it refuses of all that the fleet refuses to the account. In cost per
        second.
        """
        share = self.demand(account) * self.part_within(account)
        refused = self.refused.total(account)
        if not refused:
            return 0
        local_part = self.refused.local.get(account, 0) / refused
        return share * local_part / DECAY_SECONDS

    def retry_seconds(self, account: AccountId) -> float:
        """Return after which time an account would be within its share.

        This holds if it asks for nothing until then, since demand decays.
        """
        if not self.level:
            return 0
        excess = self.demand(account) / self.level
        seconds = DECAY_SECONDS * math.log(max(1, excess))
        return min(MAX_RETRY_SECONDS, seconds)
