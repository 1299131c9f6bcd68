"""Exchange of facts between routers, on the ways of the load reports."""

import asyncio
from typing import ClassVar, Final

import msgspec

from pollenloom.catalogue.fact_message import (
    FactsMessage,
    decode_facts,
    encode_facts,
)
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.core.ids import VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.fleet_facts import FleetFacts

SEND_INTERVAL_SECONDS: Final = 0.1
# Each change is sent in three datagrams, so that a lost one does not matter.
RESEND_SECONDS: Final = 0.25
# Intervals at which known facts are sent to routers that have just started:
# what they must keep to, and the larger and less urgent evidence for it.
REFRESH_SECONDS: Final = 1.0
EVIDENCE_REFRESH_SECONDS: Final = 5.0
# Facts of each kind in one refresh, the latest ones.
MAX_REFRESHED_FACTS: Final = 32
# Facts of each kind in one datagram; a fact has about 150 bytes.
MAX_SENT_FACTS: Final = 100


class FactExchange(KernelService):
    """Sends the facts that this router has learned, and merges others'.

    A router passes on what it receives, so a fact reaches all routers in
    some tenths of a second, and survives the router that observed it.

    Attributes:
        facts: Facts of this router and others.
        refreshed_at: When blocks and limits were sent last, monotonic seconds.
        evidence_sent_at: When all facts were sent last, monotonic seconds.
        routers: Routers of the fleet at the latest message.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.FACT_EXCHANGE

    def __init__(self, kernel: Kernel, vm: VmId) -> None:
        self.kernel = kernel
        self.vm = vm
        self.facts = FleetFacts(vm, kernel.clock.wall())
        self.refreshed_at = float('-inf')
        self.evidence_sent_at = float('-inf')
        self.routers: frozenset[VmId] = frozenset()

    async def start(self) -> None:
        """Start to send and to receive facts."""
        self.exchange = self.kernel.find(
            KernelServiceName.LOAD_EXCHANGE,
            LoadExchange,
        )
        self.exchange.relay_handlers[FactsMessage] = self.receive
        self.kernel.spawn('fact-exchange', self.run())

    async def stop(self) -> None:
        """Do nothing; the kernel ends the task."""

    def receive(self, message: FactsMessage) -> None:
        """Merge the facts of another router."""
        now = self.kernel.clock.monotonic()
        for crash in decode_facts(message.crashes, now):
            self.facts.crashes.put(crash, now)
        for answer in decode_facts(message.answers, now):
            self.facts.answers.put(answer, now)
        for block in decode_facts(message.blocks, now):
            self.facts.blocks.put(block, now)
        for limit in decode_facts(message.limits, now):
            self.facts.limits.put(limit, now)
        for trial in decode_facts(message.trials, now):
            self.facts.trials.put(trial, now)

    async def run(self) -> None:
        """Send changes, and from time to time the latest facts."""
        while True:
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
            now = self.kernel.clock.monotonic()
            self.facts.drop_expired(now)
            self.send(self.next_message(now), now)

    def next_message(self, now: float) -> FactsMessage:
        """Return what is to be sent now: changes, or known facts as well."""
        routers = frozenset(
            router.vm for router in self.exchange.fleet_directory.routers()
        )
        has_new_router = bool(routers - self.routers)
        self.routers = routers
        evidence_age = now - self.evidence_sent_at
        if has_new_router or evidence_age >= EVIDENCE_REFRESH_SECONDS:
            self.evidence_sent_at = now
            self.refreshed_at = now
            return self.latest_facts(now)
        changes = self.changed_facts(now)
        if now - self.refreshed_at < REFRESH_SECONDS:
            return changes
        self.refreshed_at = now
        latest = self.latest_facts(now)
        return msgspec.structs.replace(
            changes, blocks=latest.blocks, limits=latest.limits
        )

    def changed_facts(self, now: float) -> FactsMessage:
        """Return the facts that were learned lately."""
        earliest = now - RESEND_SECONDS
        facts = self.facts
        return FactsMessage(
            self.vm,
            crashes=encode_facts(
                facts.crashes.changed_since(earliest)[:MAX_SENT_FACTS], now
            ),
            answers=encode_facts(
                facts.answers.changed_since(earliest)[:MAX_SENT_FACTS], now
            ),
            blocks=encode_facts(
                facts.blocks.changed_since(earliest)[:MAX_SENT_FACTS], now
            ),
            limits=encode_facts(
                facts.limits.changed_since(earliest)[:MAX_SENT_FACTS], now
            ),
            trials=encode_facts(
                facts.trials.changed_since(earliest)[:MAX_SENT_FACTS], now
            ),
        )

    def latest_facts(self, now: float) -> FactsMessage:
        """Return the latest facts of each kind."""
        facts = self.facts
        limit = MAX_REFRESHED_FACTS
        return FactsMessage(
            self.vm,
            crashes=encode_facts(facts.crashes.latest(limit), now),
            answers=encode_facts(facts.answers.latest(limit), now),
            blocks=encode_facts(facts.blocks.latest(limit), now),
            limits=encode_facts(facts.limits.latest(limit), now),
            trials=encode_facts(facts.trials.latest(limit), now),
        )

    def send(self, message: FactsMessage, now: float) -> None:
        """Send facts, if there are any."""
        if not message.is_empty:
            self.exchange.send(message, self.exchange.relay_addresses(now))
