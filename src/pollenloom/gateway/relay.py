"""Answers one request: routes it, sends it, and sends it again."""

import asyncio
from typing import TYPE_CHECKING, ClassVar, Final

import xxhash
from expression import Error, Ok, Result

from pollenloom.admission.admission import Admission
from pollenloom.admission.ticket import Ticket
from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.fleet_census import FleetCensus
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import AccountId, RequestId, ServiceId
from pollenloom.core.states import Resource
from pollenloom.dispatch.retry_budget import RetryBudget
from pollenloom.gateway.answer_writer import AnswerWriter
from pollenloom.gateway.attempt_end import AttemptEnd, AttemptState
from pollenloom.gateway.caller_channel import CallerChannel
from pollenloom.gateway.dialect import Dialect
from pollenloom.gateway.event_splitter import EventSplitter
from pollenloom.gateway.exchange import Exchange
from pollenloom.gateway.pending_call import PendingCall
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.request_journal import RequestJournal
from pollenloom.gateway.server_event import AnswerHead
from pollenloom.gateway.server_links import ServerLinks
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.request_facts import RequestFacts
from pollenloom.routing.route import Route
from pollenloom.routing.routing_configuration import RoutingConfiguration
from pollenloom.settings.settings_holder import SettingsHolder

if TYPE_CHECKING:
    from pollenloom.gateway.headers import Header

# Servers that a request may try to connect to; nothing is sent to most.
MOST_TRIES: Final = 4
# Part of the fleet's retry budget that routers use up; the rest is for
# counts that differ in time.
BUDGET_SHARE: Final = 0.8
PUBLIC: Final = AccountId('')
HASH_RANGE: Final = 2**64
DEFAULT_RETRY_SECONDS: Final = 0.5


class Relay(KernelService):
    """Answers requests; one call of `answer` for each of them."""

    name: ClassVar[KernelServiceName] = KernelServiceName.DISPATCH

    def __init__(self, kernel: Kernel, dialect: Dialect) -> None:
        self.kernel = kernel
        self.dialect = dialect
        self.budgets: dict[ServiceId, RetryBudget] = {}

    async def start(self) -> None:
        """Find the services that requests need."""
        self.settings = self.kernel.find(
            KernelServiceName.SETTINGS,
            SettingsHolder,
        )
        self.catalogue = self.kernel.find(
            KernelServiceName.CATALOGUE,
            Catalogue,
        )
        self.census = self.kernel.find(
            KernelServiceName.FLEET_CENSUS,
            FleetCensus,
        )
        self.admission = self.kernel.find(
            KernelServiceName.ADMISSION,
            Admission,
        )
        self.links = self.kernel.find(
            KernelServiceName.SERVER_LINKS,
            ServerLinks,
        )
        self.journal = RequestJournal.from_kernel(self.kernel)

    async def stop(self) -> None:
        """Nothing to stop."""

    async def answer(
        self,
        channel: CallerChannel,
        request: RawRequest,
        *,
        keeps_alive: bool,
    ) -> bool:
        """Answer a request; return whether the connection can be kept."""
        writer = AnswerWriter(channel, keeps_alive=keeps_alive)
        facts = self.dialect.read_facts(request)
        prepared = self.prepare(request, facts)
        if prepared.is_error():
            self.journal.refused(facts, prepared.error)
            await self.refuse(writer, prepared.error)
            return keeps_alive
        call = prepared.ok
        self.budget(call.service).count_request(self.kernel.clock.monotonic())
        try:
            end = await self.run_until_deadline(call, writer)
        except asyncio.CancelledError:
            self.journal.caller_left(call)
            raise
        self.journal.ended(call, end)
        if end.state is not AttemptState.ANSWERED:
            return await self.conclude(call, end, writer)
        return keeps_alive and writer.is_over

    def prepare(
        self,
        request: RawRequest,
        facts: RequestFacts,
    ) -> Result[PendingCall, Failure]:
        """Find route, account and service of a request."""
        configuration = self.catalogue.configuration
        if configuration is None or not self.catalogue.is_complete:
            failure = Failure(ErrorKind.NOT_CONFIGURED, 'nothing read yet')
            return Error(failure)
        route = configuration.find_route(request.host, request.path)
        if route is None:
            detail = f'{request.host}{request.path}'
            return Error(Failure(ErrorKind.UNKNOWN_ROUTE, detail))
        account = configuration.accounts.get(facts.key)
        if account is None and self.needs_key(route, configuration):
            return Error(Failure(ErrorKind.UNAUTHENTICATED, 'unknown key'))
        return Ok(self.make_call(request, facts, route, configuration))

    def needs_key(
        self,
        route: Route,
        configuration: RoutingConfiguration,
    ) -> bool:
        """Whether requests of a route must carry a known key."""
        return bool(configuration.accounts) and not route.is_public

    def make_call(
        self,
        request: RawRequest,
        facts: RequestFacts,
        route: Route,
        configuration: RoutingConfiguration,
    ) -> PendingCall:
        """Return the call of an allowed request."""
        patience = route.timeout
        if facts.patience is not None:
            patience = min(patience, facts.patience)
        service = pick_service(route, facts.request_id)
        budget = self.budget(service)
        account = None
        if not route.is_public:
            account = configuration.accounts.get(facts.key)
        return PendingCall(
            request=request,
            facts=facts,
            route=route,
            service=service,
            account=account,
            revision=configuration.revision,
            deadline=request.received_at + patience,
            has_budget=lambda: budget.has_room(self.kernel.clock.monotonic()),
        )

    def budget(self, service: ServiceId) -> RetryBudget:
        """Return this router's even part of the fleet's retry budget."""
        budget = self.budgets.get(service)
        bounds = self.settings.current.bounds
        if budget is None:
            budget = RetryBudget(window_seconds=bounds.retry_window_seconds)
            self.budgets[service] = budget
        now = self.kernel.clock.monotonic()
        budget.ratio = bounds.retry_ratio * BUDGET_SHARE
        reserve = bounds.retry_reserve * BUDGET_SHARE
        budget.reserve = int(reserve / self.census.size(now))
        return budget

    async def run_until_deadline(
        self,
        call: PendingCall,
        writer: AnswerWriter,
    ) -> AttemptEnd:
        """Run attempts until one answers or the time is over."""
        seconds = call.deadline - self.kernel.clock.monotonic()
        try:
            async with asyncio.timeout(max(0, seconds)):
                return await self.run_attempts(call, writer)
        except TimeoutError:
            kind = ErrorKind.DEADLINE_UNREACHABLE
            if call.has_run:
                kind = ErrorKind.BACKEND_TIMEOUT
            state = AttemptState.UNSENT
            if writer.is_begun:
                state = AttemptState.BROKEN
            elif call.has_run:
                state = AttemptState.FAILED
            return AttemptEnd(state, Failure(kind, 'the time is over'))

    async def run_attempts(
        self,
        call: PendingCall,
        writer: AnswerWriter,
    ) -> AttemptEnd:
        """Send the request until it is answered or must not be sent again."""
        splitter = EventSplitter(call.facts.last_event)
        while True:
            end = await self.attempt(call, writer, splitter)
            if end.state is AttemptState.ANSWERED:
                return end
            if not self.may_go_on(call, end):
                return end
            self.journal.sent_again(call, end)

    async def attempt(
        self,
        call: PendingCall,
        writer: AnswerWriter,
        splitter: EventSplitter,
    ) -> AttemptEnd:
        """Wait for a grant and use it."""
        clock = self.kernel.clock
        began = clock.monotonic()
        acquired = await self.admission.acquire(make_ticket(call))
        call.waited += clock.monotonic() - began
        if acquired.is_error():
            return self.not_granted(call, acquired.error, writer)
        grant = acquired.ok
        call.server = grant.server.server
        call.tries += 1
        exchange = Exchange(
            call=call,
            grant=grant,
            writer=writer,
            splitter=splitter,
            clock=clock,
            dialect=self.dialect,
            admission=self.admission,
        )
        end = await exchange.run(self.links)
        if end.state is not AttemptState.ANSWERED:
            call.failed.add(grant.server.server)
            self.journal.attempt_failed(call, grant, end)
        if exchange.first_byte is not None and call.first_byte is None:
            sent_after = exchange.sent_at - call.request.received_at
            call.first_byte = sent_after + exchange.first_byte
        return end

    def not_granted(
        self,
        call: PendingCall,
        failure: Failure,
        writer: AnswerWriter,
    ) -> AttemptEnd:
        """Return the end of a request that no server may get now."""
        if writer.is_begun:
            return AttemptEnd(AttemptState.BROKEN, failure)
        if call.has_run:
            ran = Failure(ErrorKind.BACKEND_FAILED, failure.detail)
            return AttemptEnd(AttemptState.FAILED, ran)
        # Not to be tried again here: the backlog has already been full.
        call.tries = MOST_TRIES
        return AttemptEnd(AttemptState.UNSENT, failure)

    def may_go_on(self, call: PendingCall, end: AttemptEnd) -> bool:
        """Whether the request is sent once more; takes from the budget."""
        if end.failure and end.failure.kind is ErrorKind.NO_CAPACITY:
            return call.tries < MOST_TRIES and not call.has_run
        if not call.has_sends_left():
            return False
        if end.state is not AttemptState.REJECTED:
            is_repeatable = call.route.is_repeatable
            if not is_repeatable:
                return False
        return self.budget(call.service).take(self.kernel.clock.monotonic())

    async def conclude(
        self,
        call: PendingCall,
        end: AttemptEnd,
        writer: AnswerWriter,
    ) -> bool:
        """Answer a request that no server answered."""
        if writer.is_begun:
            # An answer that ends early must not look complete.
            writer.channel.abort()
            return False
        failure = end.failure or Failure(ErrorKind.INTERNAL, 'no reason')
        if call.has_run and failure.answer.run.value != 'unknown':
            failure = Failure(ErrorKind.BACKEND_FAILED, failure.detail)
        await self.refuse(writer, failure)
        return writer.keeps_alive

    async def refuse(self, writer: AnswerWriter, failure: Failure) -> None:
        """Write an own refusal."""
        answer = failure.answer
        retry_after = failure.retry_after_seconds
        if answer.retryable and retry_after is None:
            retry_after = DEFAULT_RETRY_SECONDS
        headers: list[Header] = [(b'content-type', b'text/plain')]
        headers.extend(self.dialect.refusal_headers(retry_after))
        head = AnswerHead(answer.status, tuple(headers), is_framed=True)
        body = f'{failure.kind.value}: {answer.title}\n'
        await writer.write_whole(head, body.encode())


def make_ticket(call: PendingCall) -> Ticket:
    """Return what admission needs of a call."""
    facts = call.facts
    is_model = facts.prompt_tokens > 0
    prefix: tuple[int, ...] = ()
    if facts.affinity_key:
        prefix = (xxhash.xxh3_64_intdigest(facts.affinity_key.encode()),)
    return Ticket(
        request_id=RequestId(facts.request_id),
        account=call.account or PUBLIC,
        service=call.service,
        route=call.route.route,
        resource=Resource.MODEL if is_model else Resource.APPLICATION,
        cost_hint=facts.cost,
        deadline=call.deadline,
        prefix_hashes=prefix,
        excluded=frozenset(call.failed),
        retry=call.tries > 0,
        objective=call.route.objective,
        prompt_tokens=facts.prompt_tokens,
        shared_tokens=facts.shared_tokens if prefix else 0,
    )


def pick_service(route: Route, request_id: str) -> ServiceId:
    """Choose a service by weight; the same one for the same request."""
    total = sum(entry.weight for entry in route.services)
    point = xxhash.xxh3_64_intdigest(request_id.encode()) / HASH_RANGE * total
    for entry in route.services:
        point -= entry.weight
        if point < 0:
            return entry.service
    return route.services[-1].service
