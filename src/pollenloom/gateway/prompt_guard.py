"""Observes which prompts crash backend servers, and refuses them."""

import asyncio
from collections import defaultdict
from typing import ClassVar, Final

from pollenloom.admission.grant import Grant
from pollenloom.catalogue.block_store import BlockStore
from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.fact_exchange import FactExchange
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import AccountId, ServerId
from pollenloom.gateway.loss_verdict import LossVerdict
from pollenloom.gateway.pending_call import PendingCall
from pollenloom.gateway.server_checks import ServerChecks
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.routing.block_trials import BlockTrials
from pollenloom.routing.prompt_facts import PromptBlock, PromptCrash
from pollenloom.routing.prompt_quarantine import (
    SURVIVAL_SECONDS,
    BegunAnswer,
    PromptQuarantine,
)
from pollenloom.routing.shared_fact import SharedFact

EVALUATION_SECONDS: Final = 0.1
# A router that has heard of no other one for longer may be cut off.
CONTACT_SECONDS: Final = 0.5
# Time until the claims of a trial are known on all routers.
CLAIM_SECONDS: Final = 0.7
NO_ACCOUNT: Final = AccountId('')

LostRequests = list[tuple[PromptCrash, float]]


class PromptGuard(KernelService):
    """Refuses what the fleet has found to crash backend servers.

    That is a shared part of prompts, or one request that comes again.

    A lost connection alone says little: servers also reset connections. Only
    if `ServerChecks` finds that the server has ended are the requests that it
    had hardly answered reported as evidence of a crash.

    Attributes:
        quarantine: Evidence and decisions.
        trials: Trials of what is blocked.
        lost: Requests whose connection was lost, with the time of the loss in
            monotonic seconds, by the server that is being checked.
        recorded_blocks: Keys of the blocks that were recorded and hold.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.PROMPT_GUARD

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.lost: dict[ServerId, LostRequests] = defaultdict(list)
        self.recorded_blocks: set[str] = set()

    async def start(self) -> None:
        """Start to evaluate the evidence."""
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        self.server_checks = self.kernel.find(
            KernelServiceName.SERVER_CHECKS, ServerChecks
        )
        self.fleet_directory = self.kernel.find(
            KernelServiceName.FLEET_DIRECTORY,
            FleetDirectory,
        )
        self.block_store = self.kernel.find(
            KernelServiceName.BLOCK_STORE, BlockStore
        )
        facts = self.kernel.find(
            KernelServiceName.FACT_EXCHANGE, FactExchange
        ).facts
        self.catalogue = self.kernel.find(
            KernelServiceName.CATALOGUE, Catalogue
        )
        self.load_exchange = self.kernel.find(
            KernelServiceName.LOAD_EXCHANGE,
            LoadExchange,
        )
        self.quarantine = PromptQuarantine(facts)
        self.trials = BlockTrials(facts)
        self.kernel.spawn('prompt-guard', self.run())

    async def stop(self) -> None:
        """Do nothing; the kernel ends the tasks."""

    def check(self, call: PendingCall) -> Failure | None:
        """Return why a request must not be sent, if its prompt is blocked."""
        block = None if call.is_trial else self.find_block(call)
        if block is None:
            return None
        detail = (
            f'{",".join(block.content.parts)} was in '
            f'{block.content.crashes} crashes of servers'
        )
        return Failure(ErrorKind.PROMPT_QUARANTINED, detail)

    def find_block(self, call: PendingCall) -> SharedFact[PromptBlock] | None:
        """Return the block that a request falls under, if any."""
        return self.quarantine.find_block(
            call.service,
            call.account or NO_ACCOUNT,
            call.evidence_parts,
            self.kernel.clock.monotonic(),
        )

    async def admit(self, call: PendingCall) -> Failure | None:
        """Return why a request must not be sent; let few of them be tried.

        A request that is tried waits until no other router can be about to try
        the same block.
        """
        block = self.find_block(call)
        if block is None or not self.is_settled:
            return self.check(call)
        now = self.kernel.clock.monotonic()
        claim = self.trials.claim(block, now)
        if claim is not None:
            await asyncio.sleep(CLAIM_SECONDS)
            call.is_trial = self.trials.is_granted(claim)
            if call.is_trial:
                self.record_block(EventName.PROMPT_TRIED, block)
        return self.check(call)

    @property
    def is_settled(self) -> bool:
        """Whether this router has been in touch with others for a while.

        Routers that are cut off would each claim the same trial.
        """
        position = self.fleet_directory.position()
        if position is None or position.routers == 1:
            return position is not None
        clock = self.kernel.clock
        now = clock.monotonic()
        heard_at = self.load_exchange.table.heard_at.values()
        if now - max(heard_at, default=0) > CONTACT_SECONDS:
            return False
        fleet_clock = self.load_exchange.fleet_clock
        return fleet_clock.settled_time(now, clock.uptime()) is not None

    def is_suspect(self, call: PendingCall) -> bool:
        """Whether a prompt may have crashed a server before."""
        return self.quarantine.is_suspect(call.service, call.evidence_parts)

    def answer_began(self, call: PendingCall, grant: Grant, now: float) -> int:
        """Record the first byte of an answer; return a number for it."""
        answer = BegunAnswer(
            grant.server.server, call.service, call.evidence_parts, now
        )
        return self.quarantine.answer_began(answer)

    def connection_lost(
        self,
        call: PendingCall,
        grant: Grant,
        answered_seconds: float | None,
        answer: int | None,
    ) -> None:
        """Record a request whose server closed the connection too early.

        Args:
            call: The request.
            grant: Grant of the attempt.
            answered_seconds: Time since the first byte; None without one.
            answer: Number of the answer, if it had begun.
        """
        parts = call.evidence_parts
        is_answered = (
            answered_seconds is not None
            and answered_seconds >= SURVIVAL_SECONDS
        )
        if is_answered:
            return
        if answer is not None:
            self.quarantine.answer_lost(answer)
        server = grant.server.server
        is_checked = server in self.lost
        known = self.catalogue.directory.servers.get(server)
        crash = PromptCrash(
            server,
            call.service,
            call.account or NO_ACCOUNT,
            parts,
            0 if known is None else known.entry.started_at,
        )
        self.lost[server].append((crash, self.kernel.clock.monotonic()))
        if not is_checked:
            self.kernel.spawn(
                f'crash-check-{server}', self.check_server(grant.server)
            )

    async def check_server(self, server: BackendServer) -> None:
        """Report the requests of a server as evidence if it has crashed."""
        verdict = await self.server_checks.judge(server)
        is_crashed = verdict is LossVerdict.CRASHED
        lost = self.lost.pop(server.server, [])
        self.events.record(
            EventName.SERVER_CHECKED,
            server.server,
            is_crashed=is_crashed,
            unanswered=len(lost),
            verdict=verdict.value,
        )
        if is_crashed:
            for crash, lost_at in lost:
                self.quarantine.record_crash(crash, lost_at)

    async def run(self) -> None:
        """Evaluate the evidence until the kernel ends the task."""
        while True:
            await asyncio.sleep(EVALUATION_SECONDS)
            now = self.kernel.clock.monotonic()
            for service in self.quarantine.histories:
                load = self.load_exchange.fleet_load(service, now)
                count = load.answers.get(service, 0)
                self.quarantine.observe_answers(service, count, now)
            self.quarantine.settle(now)
            for block in self.quarantine.decide(now):
                self.block_store.save(block)
            self.record_blocks()

    def record_blocks(self) -> None:
        """Record blocks and their ends, also those of other routers."""
        blocks = self.quarantine.facts.blocks.facts
        released = self.quarantine.released_blocks()
        for key in blocks.keys() - released.keys() - self.recorded_blocks:
            self.record_block(EventName.PROMPT_BLOCKED, blocks[key])
        for key in released.keys() & self.recorded_blocks:
            self.record_block(EventName.PROMPT_RELEASED, released[key])
            if self.is_responsible(released[key]):
                self.block_store.remove(released[key].content)
        self.recorded_blocks = blocks.keys() - released.keys()

    def is_responsible(self, block: SharedFact[PromptBlock]) -> bool:
        """Whether this router removes a block from the store.

        The router that wrote it does, and another one in case that it failed.
        """
        position = self.fleet_directory.position()
        is_first = position is not None and position.rank == 0
        return is_first or self.quarantine.facts.is_own(block)

    def record_block(
        self, event: EventName, fact: SharedFact[PromptBlock]
    ) -> None:
        """Record a block or its end, and which router decided on it."""
        block = fact.content
        self.events.record(
            event,
            ','.join(block.parts),
            service=block.service,
            accounts=','.join(block.accounts),
            crashes=block.crashes,
            origin=fact.fact_id,
        )
