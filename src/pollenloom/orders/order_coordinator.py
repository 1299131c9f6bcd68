"""Service that runs orders at most once."""

import asyncio
import uuid
from types import MappingProxyType
from typing import TYPE_CHECKING, Final, Self

from expression import Error, Ok, Result

from pollenloom.configuration.configuration_service import (
    ConfigurationService,
)
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import ClaimId
from pollenloom.core.states import RunStatus
from pollenloom.dispatch.dispatch import Dispatch
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.log_service.log_tail import LogTail
from pollenloom.log_service.platform import Platform
from pollenloom.membership.membership import Membership
from pollenloom.observability.event_log import EventLog
from pollenloom.orders.claim_coordinator import ClaimCoordinator
from pollenloom.orders.claim_verdict import ClaimVerdict
from pollenloom.orders.order_answers import (
    fail,
    fingerprint,
    make_answer,
    make_outcome,
    replay,
)
from pollenloom.orders.order_entries import (
    OrderClaim,
    OrderOutcome,
    OrderRelease,
)
from pollenloom.orders.order_key import OrderKey, canonical_key
from pollenloom.orders.order_messages import (
    ClaimOrder,
    ClaimReply,
    ConcludeOrder,
    ConcludeReply,
)
from pollenloom.orders.order_response import OrderResponse
from pollenloom.orders.order_service import OrderService
from pollenloom.peers.peer_network import PeerNetwork

if TYPE_CHECKING:
    from pollenloom.core.caller_request import CallerRequest
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.settings.router_settings import RouterSettings

# A claim includes an append to the platform's log, which may be slow.
CLAIM_TIMEOUT_SECONDS: Final = 5.0
# Longest wait for the outcome of an earlier call with the same key.
OUTCOME_WAIT_SECONDS: Final = 3.0
# A claimant may need this long after the deadline to record the outcome.
CONCLUSION_SECONDS: Final = 30.0
# The caller waits this long for the record; a repeat after the loss of this
# router finds the outcome only if it was recorded.
RECORD_WAIT_SECONDS: Final = 3.0
RETRY_SECONDS: Final = 0.25
# A graceful shutdown waits this long for records of orders that have ended.
# During a platform outage they would use up the whole time of the shutdown;
# without them repeats are told that the outcome is unknown.
DRAIN_SECONDS: Final = 5.0

VERDICT_ERRORS: Final = MappingProxyType(
    {
        ClaimVerdict.IN_PROGRESS: ErrorKind.ORDER_IN_PROGRESS,
        ClaimVerdict.UNKNOWN: ErrorKind.ORDER_OUTCOME_UNKNOWN,
        ClaimVerdict.REUSED: ErrorKind.IDEMPOTENCY_KEY_REUSED,
        ClaimVerdict.EXPIRED: ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
        ClaimVerdict.INVALID: ErrorKind.IDEMPOTENCY_KEY_INVALID,
        ClaimVerdict.UNAVAILABLE: ErrorKind.ORDERS_UNAVAILABLE,
        ClaimVerdict.UNSURE: ErrorKind.ORDER_OUTCOME_UNKNOWN,
        ClaimVerdict.UNCLAIMED: ErrorKind.ORDERS_UNAVAILABLE,
    }
)

UNDECIDED: Final = frozenset(
    (
        ClaimVerdict.UNAVAILABLE,
        ClaimVerdict.UNSURE,
    )
)
OrderTask = asyncio.Task[Result[OrderResponse, Failure]]


class OrderCoordinator(OrderService):
    """Claims an order in the log, dispatches it once, records the outcome.

    Only the router whose claim holds the key dispatches the order, so two
    routers with the same key, a lost answer of the platform, or a router
    that was paused after its claim cannot lead to a second run.
    """

    def __init__(self, kernel: 'Kernel') -> None:
        self.kernel = kernel
        self.running: set[OrderTask] = set()
        self.concluding: set[asyncio.Task[None]] = set()

    @classmethod
    def from_config(
        cls,
        kernel: 'Kernel',
        settings: 'RouterSettings',
    ) -> Self:
        """Return the service; it has no settings of its own."""
        del settings
        return cls(kernel)

    async def start(self) -> None:
        """Find the other services and follow the log."""
        find = self.kernel.find
        self.dispatch = find(KernelServiceName.DISPATCH, Dispatch)
        self.peers = find(KernelServiceName.PEERS, PeerNetwork)
        self.membership = find(KernelServiceName.MEMBERSHIP, Membership)
        self.tail = find(KernelServiceName.LOG, LogTail)
        self.events = find(KernelServiceName.EVENTS, EventLog)
        self.configuration = find(
            KernelServiceName.CONFIGURATION,
            ConfigurationService,
        )
        self.claim_coordinator = ClaimCoordinator(
            self.kernel,
            find(KernelServiceName.PLATFORM, Platform),
            self.tail,
            self.membership,
        )
        self.claim_coordinator.start()
        self.peers.answer(ClaimOrder, self.claim_coordinator.answer_claim)
        self.peers.answer(
            ConcludeOrder, self.claim_coordinator.answer_conclusion
        )

    async def drain(self) -> None:
        """Finish running orders, and the records of outcomes if possible."""
        while self.running:
            await asyncio.wait(self.running)
        if not self.concluding:
            return
        _, left = await asyncio.wait(self.concluding, timeout=DRAIN_SECONDS)
        for task in left:
            task.cancel()
            self.events.record(
                'order_conclusion_lost',
                task.get_name(),
                reason='the router stops and the log took no record in time',
            )

    async def stop(self) -> None:
        """Nothing to release: the kernel ends the tasks."""

    async def execute(
        self,
        request: 'CallerRequest',
    ) -> Result[OrderResponse, Failure]:
        """Run the call at most once for its idempotency key.

        The order goes on when the caller leaves, so that a repeat with the
        same key finds its outcome.
        """
        if request.idempotency_key is None:
            return fail(
                ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
                'send an Idempotency-Key header with a UUID version 7',
            )
        key = canonical_key(request.idempotency_key)
        if key is None:
            return fail(
                ErrorKind.IDEMPOTENCY_KEY_INVALID,
                'the Idempotency-Key must be a UUID version 7 (RFC 9562)',
            )
        claim = self.make_claim(request, key)
        task = asyncio.get_running_loop().create_task(
            self.claim_and_run(request, claim),
        )
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return await asyncio.shield(task)

    def make_claim(self, request: 'CallerRequest', key: str) -> OrderClaim:
        """Return a new claim for a request."""
        remaining = request.deadline - self.kernel.clock.monotonic()
        return OrderClaim(
            key=OrderKey(request.service, request.account, key),
            claim=ClaimId(uuid.uuid4().hex),
            fingerprint=fingerprint(request),
            vm=self.membership.own.vm,
            lasts_seconds=max(remaining, 0) + CONCLUSION_SECONDS,
        )

    async def claim_and_run(
        self,
        request: 'CallerRequest',
        claim: OrderClaim,
    ) -> Result[OrderResponse, Failure]:
        """Claim the key; run the order, replay its outcome, or refuse."""
        answer = await self.ask_coordinators(request, claim)
        self.events.record(
            'order_claimed',
            request.request_id,
            verdict=answer.verdict.value,
            key=claim.key.key,
        )
        if answer.verdict is ClaimVerdict.GRANTED:
            return await self.run(request, claim)
        if answer.outcome is not None:
            return replay(answer.outcome)
        if answer.verdict in UNDECIDED:
            return await self.run_unclaimed(request, claim, answer.verdict)
        return fail(
            VERDICT_ERRORS[answer.verdict],
            f'key {claim.key.key}: {answer.verdict.value}',
        )

    async def ask_coordinators(
        self,
        request: 'CallerRequest',
        claim: OrderClaim,
    ) -> ClaimReply:
        """Ask the log readers of the data centre in turn for a verdict."""
        remaining = request.deadline - self.kernel.clock.monotonic()
        message = ClaimOrder(
            claim,
            wait_seconds=min(max(remaining, 0), OUTCOME_WAIT_SECONDS),
        )
        undecided = ClaimVerdict.UNAVAILABLE
        for vm in self.tail.readers():
            answer = await self.peers.request(
                vm,
                message,
                ClaimReply,
                CLAIM_TIMEOUT_SECONDS,
            )
            if answer.is_error():
                continue
            if answer.ok.verdict not in UNDECIDED:
                return answer.ok
            undecided = answer.ok.verdict
        return ClaimReply(undecided)

    async def run(
        self,
        request: 'CallerRequest',
        claim: OrderClaim,
    ) -> Result[OrderResponse, Failure]:
        """Dispatch a claimed order once and record what became of it."""
        if self.kernel.clock.monotonic() >= request.deadline:
            self.release(claim)
            return fail(
                ErrorKind.DEADLINE_EXCEEDED,
                'the claim was granted after the deadline',
            )
        dispatched = await self.dispatch.call(request)
        if dispatched.is_ok():
            await self.record(make_outcome(claim, dispatched.ok))
            return Ok(make_answer(dispatched.ok))
        if dispatched.error.answer.run is RunStatus.NO:
            self.release(claim)
        else:
            unknown = OrderOutcome(claim.key, claim.claim, known=False)
            await self.record(unknown)
        return Error(dispatched.error)

    async def run_unclaimed(
        self,
        request: 'CallerRequest',
        claim: OrderClaim,
        verdict: ClaimVerdict,
    ) -> Result[OrderResponse, Failure]:
        """Refuse, or leave the check to a server that deduplicates.

        A desk that has just started cannot tell whether an earlier call with
        the key was run, so a repeat must not be told that it was not.
        """
        services = self.configuration.current.services
        service = services.get(request.service)
        if service is not None and service.deduplicates:
            dispatched = await self.dispatch.call(request)
            return dispatched.map(make_answer)
        self.release(claim)
        return fail(
            VERDICT_ERRORS[verdict],
            'the order could not be recorded; this call was not run',
        )

    async def record(self, outcome: OrderOutcome) -> None:
        """Record an outcome; go on in the background if it takes long."""
        task = self.conclude(ConcludeOrder(outcome=outcome))
        await asyncio.wait({task}, timeout=RECORD_WAIT_SECONDS)

    def release(self, claim: OrderClaim) -> None:
        """Record in the background that a claim was not dispatched."""
        self.conclude(
            ConcludeOrder(release=OrderRelease(claim.key, claim.claim)),
        )

    def conclude(self, message: ConcludeOrder) -> asyncio.Task[None]:
        """Start to record the end of a claim."""
        entry = message.outcome or message.release
        task = asyncio.get_running_loop().create_task(
            self.conclude_with_retries(message),
            name=entry.key.key if entry else '',
        )
        self.concluding.add(task)
        task.add_done_callback(self.concluding.discard)
        return task

    async def conclude_with_retries(self, message: ConcludeOrder) -> None:
        """Try until the end of the claim is recorded or too much time passed.

        Without a record, repeats are told that the outcome is unknown.
        """
        started = self.kernel.clock.monotonic()
        while self.kernel.clock.monotonic() - started < CONCLUSION_SECONDS:
            for vm in self.tail.readers():
                answer = await self.peers.request(
                    vm,
                    message,
                    ConcludeReply,
                    CLAIM_TIMEOUT_SECONDS,
                )
                if answer.is_ok() and answer.ok.recorded:
                    return
            await asyncio.sleep(RETRY_SECONDS)
        entry = message.outcome or message.release
        self.events.record(
            'order_conclusion_lost',
            entry.key.key if entry else '',
            reason='no order desk recorded it in time',
        )
