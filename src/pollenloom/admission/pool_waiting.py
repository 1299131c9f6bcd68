"""How the requests of one service wait on this router and are turned away."""

from dataclasses import dataclass, field
from typing import Final, Self

from pollenloom.admission.account_shares import AccountShares
from pollenloom.admission.admission_refusal import AdmissionRefusal
from pollenloom.admission.caller_attempt import CallerAttempt
from pollenloom.admission.caller_attempts import (
    CallerAttempts,
    FirstAttempts,
    RepeatedAttempts,
    classify_attempt,
)
from pollenloom.admission.late_service import (
    LateService,
    LateWhileCallerWaits,
    NoLateService,
)
from pollenloom.admission.local_backlog import LocalBacklog
from pollenloom.admission.return_schedule import (
    MIN_RETURN_SECONDS,
    ExpectedWait,
    ReturnSchedule,
    ReturnTimes,
)
from pollenloom.admission.send_rate import SendRate
from pollenloom.admission.share_class import ShareClass
from pollenloom.admission.ticket import Ticket
from pollenloom.admission.waiting_activity import WaitingActivity
from pollenloom.admission.waiting_ticket import WaitingTicket
from pollenloom.settings.node_settings import SchedulingSettings

# Part of the room for late requests that is counted on, as room comes unevenly.
LATE_ROOM_SHARE: Final = 0.5


@dataclass(slots=True)
class PoolWaiting:
    """Decides how requests wait, by what the deployment has switched on.

    Attributes:
        backlog: The waiting requests.
        shares: Shares of the accounts.
        sends: Rate at which this router sends.
        attempts: Tells repeats from first attempts.
        late_service: How long requests wait that can only be late.
        returns: When refused callers are told to return.
        is_switched_on: Whether the deployment has switched on any of them.
        activity: What was decided since it was last recorded.
    """

    backlog: LocalBacklog
    shares: AccountShares
    sends: SendRate
    attempts: CallerAttempts
    late_service: LateService
    returns: ReturnTimes
    is_switched_on: bool
    activity: WaitingActivity = field(default_factory=WaitingActivity)

    @classmethod
    def from_config(
        cls,
        scheduling: SchedulingSettings,
        backlog: LocalBacklog,
        shares: AccountShares,
        sends: SendRate,
    ) -> Self:
        """Create the rules that a deployment has switched on."""
        attempts: CallerAttempts = FirstAttempts()
        late_service: LateService = NoLateService()
        returns: ReturnTimes = ExpectedWait()
        if scheduling.serves_late:
            late_service = LateWhileCallerWaits()
        if scheduling.spreads_returns:
            returns = ReturnSchedule()
        is_on = scheduling.serves_late or scheduling.spreads_returns
        if is_on:
            attempts = RepeatedAttempts()
        return cls(
            backlog, shares, sends, attempts, late_service, returns, is_on
        )

    def renew(self, now: float) -> None:
        """Begin a new period of the activity."""
        self.activity = WaitingActivity()
        self.returns.forget(now)

    def arrive(
        self, ticket: Ticket, max_wait: float, now: float
    ) -> WaitingTicket:
        """Return a request that has just come in, with its place in the order.

        Args:
            ticket: The request.
            max_wait: Seconds that a first attempt may wait to be in time.
            now: Monotonic seconds.
        """
        age = self.attempts.age(ticket)
        attempt = classify_attempt(age, MIN_RETURN_SECONDS)
        self.activity.record_attempt(attempt)
        return WaitingTicket(
            ticket,
            now,
            self.classify(ticket, attempt),
            attempt=attempt,
            age=age,
            start_by=now + max_wait - age,
            is_behind=attempt is not CallerAttempt.FIRST,
        )

    def classify(self, ticket: Ticket, attempt: CallerAttempt) -> ShareClass:
        """Return the class of a new request by the share of its account.

        A request that was sent before stays within the share. A repeat after a
        refusal was asked for before: it takes nothing of the share from first
        attempts, which can still be in time.
        """
        if ticket.retry:
            self.shares.take_repeat(ticket.account)
            return ShareClass.WITHIN
        if attempt is not CallerAttempt.FIRST:
            is_within = self.shares.part_within(ticket.account) >= 1
            return ShareClass.WITHIN if is_within else ShareClass.SURPLUS
        share_class = self.shares.classify(ticket.account)
        if share_class is ShareClass.BEYOND and self.shares.is_idle:
            return ShareClass.SURPLUS
        return share_class

    def expected_wait(self, waiting: WaitingTicket, now: float) -> float:
        """Expected seconds until a request of the backlog would be sent.

        0 if nothing was sent lately, since there is no rate to predict from.
        The rate is at least the one that is due to this router: with its own
        send rate alone, a router that lost requests once would expect longer
        waits, refuse more and lose again.
        """
        rate = self.sends.per_second(self.shares.local_rate, now)
        if rate is None:
            return 0
        return self.backlog.cost_ahead(waiting, now) / rate

    def late_wait(self, waiting: WaitingTicket, now: float) -> float:
        """Return how long a request waits that can't be in time; 0 to refuse.

        A request for which no room is expected while it may wait is refused at
        once: its caller is worse off after a wait.

        Args:
            waiting: The request, marked as behind those in time, which take
                room that late requests are not sent to.
            now: Monotonic seconds.
        """
        seconds = self.late_service.wait_seconds(waiting, now)
        if seconds <= 0:
            return 0
        room = self.sends.late_per_second(now) * seconds * LATE_ROOM_SHARE
        ahead = self.backlog.cost_ahead(waiting, now)
        return seconds if ahead + waiting.ticket.cost_hint <= room else 0

    def put_behind(self, waiting: WaitingTicket) -> None:
        """Let a request that is marked as behind wait in its place."""
        self.backlog.remove(waiting)
        self.activity.waited_late += 1
        self.backlog.put(waiting)

    def record_refusal(self, waiting: WaitingTicket, now: float) -> None:
        """Count the cost of a refused request as demand of its account.

        That of a repeat counts already.
        """
        ticket = waiting.ticket
        if waiting.attempt is CallerAttempt.FIRST:
            self.backlog.refused.charge(ticket.account, ticket.cost_hint, now)

    def return_seconds(
        self, ticket: Ticket, refusal: AdmissionRefusal, now: float
    ) -> float:
        """Return the seconds after which a refused caller is told to return.

        Room comes to an account at the rate of its share, and to this router
        at its part of what the fleet refuses to the account.

        Args:
            ticket: The refused request.
            refusal: Why it is refused.
            now: Monotonic seconds.
        """
        seconds = self.returns.seconds(
            ticket, refusal, self.shares.return_rate(ticket.account), now
        )
        self.activity.record_return(seconds)
        return seconds
