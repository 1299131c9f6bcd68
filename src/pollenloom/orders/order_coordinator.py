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
from pollenloom.orders.response_conversion import (
    fail,
    fingerprint,
    make_outcome,
    make_response,
    replay,
)
from pollenloom.peers.peer_network import PeerNetwork

if TYPE_CHECKING:
    from pollenloom.core.caller_request import CallerRequest
    from pollenloom.kernel.kernel import Kernel
    from pollenloom.settings.router_settings import RouterSettings

# Includes an append to the platform's log, which may be slow.
CLAIM_TIMEOUT_SECONDS: Final = 5.0
# Longest wait for the outcome of an earlier call with the same key.
OUTCOME_WAIT_SECONDS: Final = 3.0
# Time that a claimant has after the deadline to record the outcome.
CONCLUSION_SECONDS: Final = 30.0
# Longest time that a response is delayed until its outcome is recorded. If this
# router is lost, a repeat finds the outcome only if it was recorded.
RECORD_WAIT_SECONDS: Final = 3.0
RETRY_SECONDS: Final = 0.25
# Longest time that a graceful shutdown waits until the outcomes of finished
# orders are recorded; during a platform outage this would otherwise use up the
# whole shutdown time. Repeats of an order without a record get the response
# that its outcome is unknown.
DRAIN_SECONDS: Final = 5.0

VERDICT_ERRORS: Final = MappingProxyType(
    {
        ClaimVerdict.IN_PROGRESS: ErrorKind.ORDER_IN_PROGRESS,
        ClaimVerdict.UNKNOWN: ErrorKind.ORDER_OUTCOME_UNKNOWN,
        ClaimVerdict.REUSED: ErrorKind.IDEMPOTENCY_KEY_REUSED,
        ClaimVerdict.EXPIRED: ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
        ClaimVerdict.INVALID: ErrorKind.IDEMPOTENCY_KEY_INVALID,
        ClaimVerdict.UNAVAILABLE: ErrorKind.ORDERS_UNAVAILABLE,
        ClaimVerdict.INDEX_NOT_LOADED: ErrorKind.ORDER_OUTCOME_UNKNOWN,
        ClaimVerdict.UNCLAIMED: ErrorKind.ORDERS_UNAVAILABLE,
    }
)

UNDECIDED_VERDICTS: Final = frozenset(
    (
        ClaimVerdict.UNAVAILABLE,
        ClaimVerdict.INDEX_NOT_LOADED,
    )
)
OrderTask = asyncio.Task[Result[OrderResponse, Failure]]


class OrderCoordinator(OrderService):
    """Claims an order in the log, dispatches it once, records the outcome.

    Only the router whose claim holds the key dispatches the order, so the
    order is not run twice if two routers receive the same key, a response
    of the platform is lost, or a router is paused after its claim.

    Attributes:
        running: Tasks that claim and run orders.
        concluding: Tasks that record outcomes and releases, named by key.
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
        """Find the other services, follow the log and handle claims."""
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
        self.peers.set_request_handler(
            ClaimOrder, self.claim_coordinator.handle_claim
        )
        self.peers.set_request_handler(
            ConcludeOrder, self.claim_coordinator.handle_conclusion
        )

    async def drain(self) -> None:
        """Finish running orders, then record outcomes for a limited time."""
        while self.running:
            await asyncio.wait(self.running)
        if not self.concluding:
            return
        _, unfinished = await asyncio.wait(
            self.concluding, timeout=DRAIN_SECONDS
        )
        for task in unfinished:
            task.cancel()
            self.events.record(
                'order_conclusion_lost',
                task.get_name(),
                reason='router stopped before the log accepted the record',
            )

    async def stop(self) -> None:
        """Do nothing; the kernel cancels the tasks."""

    async def execute(
        self,
        request: 'CallerRequest',
    ) -> Result[OrderResponse, Failure]:
        """Run the call at most once for its idempotency key.

        The order continues if the caller disconnects, so that a repeat with
        the same key finds its outcome.
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
        """Return a new claim, valid until some time after the deadline."""
        remaining = request.deadline - self.kernel.clock.monotonic()
        return OrderClaim(
            key=OrderKey(request.service, request.account, key),
            claim=ClaimId(uuid.uuid4().hex),
            fingerprint=fingerprint(request),
            vm=self.membership.local_member.vm,
            validity_seconds=max(remaining, 0) + CONCLUSION_SECONDS,
        )

    async def claim_and_run(
        self,
        request: 'CallerRequest',
        claim: OrderClaim,
    ) -> Result[OrderResponse, Failure]:
        """Claim the key; run the order, replay its outcome or reject it."""
        reply = await self.ask_coordinators(request, claim)
        self.events.record(
            'order_claimed',
            request.request_id,
            verdict=reply.verdict.value,
            key=claim.key.key,
        )
        if reply.verdict is ClaimVerdict.GRANTED:
            return await self.run(request, claim)
        if reply.outcome is not None:
            return replay(reply.outcome)
        if reply.verdict in UNDECIDED_VERDICTS:
            return await self.run_unclaimed(request, claim, reply.verdict)
        return fail(
            VERDICT_ERRORS[reply.verdict],
            f'key {claim.key.key}: {reply.verdict.value}',
        )

    async def ask_coordinators(
        self,
        request: 'CallerRequest',
        claim: OrderClaim,
    ) -> ClaimReply:
        """Ask the log readers of the data centre in turn for a verdict.

        Returns:
            The first decided verdict, else the last undecided one;
            `UNAVAILABLE` if no reader replied.
        """
        remaining = request.deadline - self.kernel.clock.monotonic()
        message = ClaimOrder(
            claim,
            wait_seconds=min(max(remaining, 0), OUTCOME_WAIT_SECONDS),
        )
        undecided_verdict = ClaimVerdict.UNAVAILABLE
        for vm in self.tail.readers():
            reply = await self.peers.request(
                vm,
                message,
                ClaimReply,
                CLAIM_TIMEOUT_SECONDS,
            )
            if reply.is_error():
                continue
            if reply.ok.verdict not in UNDECIDED_VERDICTS:
                return reply.ok
            undecided_verdict = reply.ok.verdict
        return ClaimReply(undecided_verdict)

    async def run(
        self,
        request: 'CallerRequest',
        claim: OrderClaim,
    ) -> Result[OrderResponse, Failure]:
        """Dispatch a claimed order once and record its outcome.

        A claim whose order was certainly not run is released instead.
        """
        if self.kernel.clock.monotonic() >= request.deadline:
            self.release(claim)
            return fail(
                ErrorKind.DEADLINE_EXCEEDED,
                'the claim was granted after the deadline',
            )
        dispatched = await self.dispatch.call(request)
        if dispatched.is_ok():
            await self.record(make_outcome(claim, dispatched.ok))
            return Ok(make_response(dispatched.ok))
        if dispatched.error.response.run is RunStatus.NO:
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
        """Reject the order, unless its service deduplicates calls itself.

        A coordinator that has just started does not know whether an earlier
        call with the key was run, so the response to a repeat must not say
        that it was not.
        """
        services = self.configuration.current.services
        service = services.get(request.service)
        if service is not None and service.deduplicates:
            dispatched = await self.dispatch.call(request)
            return dispatched.map(make_response)
        self.release(claim)
        return fail(
            VERDICT_ERRORS[verdict],
            'the order could not be recorded; this call was not run',
        )

    async def record(self, outcome: OrderOutcome) -> None:
        """Record an outcome; after a timeout, continue in the background."""
        task = self.conclude(ConcludeOrder(outcome=outcome))
        await asyncio.wait({task}, timeout=RECORD_WAIT_SECONDS)

    def release(self, claim: OrderClaim) -> None:
        """Record in the background that a claim was not dispatched."""
        self.conclude(
            ConcludeOrder(release=OrderRelease(claim.key, claim.claim)),
        )

    def conclude(self, message: ConcludeOrder) -> asyncio.Task[None]:
        """Start a task that records the end of a claim."""
        entry = message.outcome or message.release
        task = asyncio.get_running_loop().create_task(
            self.conclude_with_retries(message),
            name=entry.key.key if entry else '',
        )
        self.concluding.add(task)
        task.add_done_callback(self.concluding.discard)
        return task

    async def conclude_with_retries(self, message: ConcludeOrder) -> None:
        """Retry for `CONCLUSION_SECONDS` until the end of a claim is recorded.

        Without a record, repeats get the response that the outcome is
        unknown.
        """
        started = self.kernel.clock.monotonic()
        while self.kernel.clock.monotonic() - started < CONCLUSION_SECONDS:
            for vm in self.tail.readers():
                reply = await self.peers.request(
                    vm,
                    message,
                    ConcludeReply,
                    CLAIM_TIMEOUT_SECONDS,
                )
                if reply.is_ok() and reply.ok.recorded:
                    return
            await asyncio.sleep(RETRY_SECONDS)
        entry = message.outcome or message.release
        self.events.record(
            'order_conclusion_lost',
            entry.key.key if entry else '',
            reason='no claim coordinator recorded it in time',
        )
