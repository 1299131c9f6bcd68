"""Waiting of requests for their grants, and their refusal."""

import asyncio
from collections.abc import Callable

from expression import Error, Ok, Result

from pollenloom.admission.admission_refusal import AdmissionRefusal
from pollenloom.admission.grant import Grant
from pollenloom.admission.local_pool import LocalPool
from pollenloom.admission.refusal_cause import RefusalCause
from pollenloom.admission.settlement import Settlement
from pollenloom.admission.share_class import ShareClass
from pollenloom.admission.waiting_ticket import WaitingTicket
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.states import Outcome
from pollenloom.kernel.clock import Clock

GrantFuture = asyncio.Future[Grant]


class RequestWaits:
    """Lets requests wait while that is better for their callers than not to.

    Attributes:
        clock: Source of the present time.
        settle: Takes back a grant that nobody uses.
        has_waiting: Set while requests may be waiting.
    """

    def __init__(
        self, clock: Clock, settle: Callable[[Settlement], None]
    ) -> None:
        self.clock = clock
        self.settle = settle
        self.has_waiting = asyncio.Event()

    async def wait(
        self, pool: LocalPool, waiting: WaitingTicket, grant_future: GrantFuture
    ) -> Result[Grant, Failure]:
        """Wait for a grant, or refuse the request.

        Args:
            pool: Backlog and servers of its service.
            waiting: A request that has come in and found no room.
            grant_future: Set when it gets a grant.
        """
        now = self.clock.monotonic()
        refusal = self.refuse_at_once(pool, waiting, now)
        if refusal is None:
            ticket = waiting.ticket
            seconds = max(0, min(waiting.start_by, ticket.deadline) - now)
            await self.wait_for_grant(pool, waiting, grant_future, seconds)
            now += seconds
            usage = pool.backlog.usage.total(ticket.account)
            reason = f'no room within {seconds:.2f} s, usage {usage:.0f}'
            refusal = no_room(reason, pool.waits.expected_wait(waiting, now))
        if not grant_future.done():
            waiting.is_behind = True
            seconds = pool.waits.late_wait(waiting, now)
            if seconds:
                pool.waits.put_behind(waiting)
                await self.wait_for_grant(pool, waiting, grant_future, seconds)
        if grant_future.done():
            return Ok(grant_future.result())
        return Error(self.reject(pool, waiting, refusal))

    def refuse_at_once(
        self, pool: LocalPool, waiting: WaitingTicket, now: float
    ) -> AdmissionRefusal | None:
        """Return why a request can't be in time; None if it may be."""
        ticket = waiting.ticket
        if waiting.share_class is not ShareClass.WITHIN:
            return pool.shares.refuse(ticket.account)
        expected = pool.waits.expected_wait(waiting, now)
        limit = max(0, waiting.start_by - now)
        if expected <= limit:
            return None
        reason = (
            f'expected wait {expected:.2f} s, limit {limit:.2f} s, '
            f'usage {pool.backlog.usage.total(ticket.account):.0f}'
        )
        return no_room(reason, expected)

    async def wait_for_grant(
        self,
        pool: LocalPool,
        waiting: WaitingTicket,
        grant_future: GrantFuture,
        seconds: float,
    ) -> None:
        """Wait until a request has its grant, for some seconds at most."""
        self.has_waiting.set()
        try:
            await asyncio.wait((grant_future,), timeout=seconds)
        except asyncio.CancelledError:
            if grant_future.done():
                unused = Settlement(
                    grant=grant_future.result(),
                    outcome=Outcome.UNUSED,
                )
                self.settle(unused)
            else:
                pool.activity.accounts.record_waited(
                    waiting.ticket.account,
                    is_late=waiting.is_late(self.clock.monotonic()),
                )
            raise

    def reject(
        self, pool: LocalPool, waiting: WaitingTicket, refusal: AdmissionRefusal
    ) -> Failure:
        """Return a failure that states after which seconds to retry."""
        now = self.clock.monotonic()
        pool.record_refusal(waiting, refusal.cause, now)
        seconds = pool.waits.return_seconds(waiting.ticket, refusal, now)
        return Failure(
            ErrorKind.NO_CAPACITY,
            refusal.reason,
            retry_after_seconds=seconds,
        )


def no_room(reason: str, expected_wait: float) -> AdmissionRefusal:
    """Return the refusal of a request for which no server has room."""
    return AdmissionRefusal(RefusalCause.NO_ROOM, reason, expected_wait)
