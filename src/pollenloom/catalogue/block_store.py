"""Blocked prompts in the platform's store, for fleets that restart."""

import asyncio
from typing import ClassVar, Final

import msgspec
import xxhash
from absl import logging

from pollenloom.catalogue.fact_exchange import FactExchange
from pollenloom.catalogue.keyed_record import KeyedRecord
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.fleet_facts import block_key
from pollenloom.routing.prompt_facts import PromptBlock
from pollenloom.routing.shared_fact import SharedFact
from pollenloom.validation.untrusted_bytes import decode_json

RETRY_SECONDS: Final = 0.5
# Changes that wait while the store is down, and blocks that are written again
# when it has lost them; the oldest are dropped.
MAX_PENDING: Final = 64
REMOVED: Final = b''
# Clocks of VMs differ by less. A block with a later time would be as new at
# each start of a router, and never expire.
MAX_CLOCK_DIFFERENCE_SECONDS: Final = 3600.0


class BlockRecord(msgspec.Struct, frozen=True):
    """Record of a block.

    Attributes:
        block: The block.
        fact_id: Unique id of the decision.
        decided_at: Wall time of the latest crash that proves it, in seconds.
    """

    block: PromptBlock
    fact_id: str
    decided_at: float


class BlockStore(KernelService):
    """Reads the blocks at the start, and writes those of this router.

    Routers that run learn blocks from each other. The store is for the case
    that all of them restart, so nothing waits for it.

    Attributes:
        pending: Payloads to write, by key; empty ones remove the key.
        written: Latest payloads that this router wrote, by key.
        has_pending: Set while there are any.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.BLOCK_STORE

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.pending: dict[str, bytes] = {}
        self.written: dict[str, bytes] = {}
        self.has_pending = asyncio.Event()

    async def start(self) -> None:
        """Start to read and write."""
        self.store = self.kernel.find(KernelServiceName.KEYED_STORE, KeyedStore)
        self.facts = self.kernel.find(
            KernelServiceName.FACT_EXCHANGE, FactExchange
        ).facts
        self.store.watch_era(self.write_again)
        self.kernel.spawn('blocks-read', self.read())
        self.kernel.spawn('blocks-write', self.write())

    async def stop(self) -> None:
        """Do nothing; the kernel ends the tasks."""

    def save(self, fact: SharedFact[PromptBlock]) -> None:
        """Write a block as soon as the store takes it."""
        now = self.kernel.clock.monotonic()
        decided_at = self.kernel.clock.wall() - (now - fact.observed_at)
        record = BlockRecord(fact.content, fact.fact_id, decided_at)
        self.put(fact.content, msgspec.json.encode(record))

    def remove(self, block: PromptBlock) -> None:
        """Remove a block as soon as the store takes the change."""
        self.put(block, REMOVED)

    def put(self, block: PromptBlock, payload: bytes) -> None:
        """Keep a change until it is written."""
        if len(self.pending) >= MAX_PENDING:
            self.pending.pop(next(iter(self.pending)))
        # Keys of the store are short.
        key = xxhash.xxh3_64_hexdigest(block_key(block).encode())
        self.pending[key] = payload
        self.has_pending.set()

    def write_again(self) -> None:
        """Write all changes of this router again, which the store may lack.

        Changes that are newer wait already. Expired blocks are ignored by
        whoever reads them.
        """
        self.pending = {**self.written, **self.pending}
        if self.pending:
            self.has_pending.set()

    async def read(self) -> None:
        """Read all blocks once; repeat until it succeeds."""
        while True:
            listing = await self.store.newest(StoreTopic.BLOCKS)
            if listing.is_ok():
                for record in listing.ok.records:
                    self.apply(record)
                return
            await asyncio.sleep(RETRY_SECONDS)

    def apply(self, record: KeyedRecord) -> None:
        """Take over a block; expired ones are ignored."""
        if not record.payload:
            return
        decoded = decode_json(record.payload, BlockRecord)
        if decoded.is_error():
            log_rejected(record, decoded.error.detail)
            return
        stored = decoded.ok
        now = self.kernel.clock.monotonic()
        age = self.kernel.clock.wall() - stored.decided_at
        if age < -MAX_CLOCK_DIFFERENCE_SECONDS:
            log_rejected(record, 'the time of the decision is in the future')
            return
        age = max(0, age)
        key = block_key(stored.block)
        fact = SharedFact(stored.fact_id, key, now - age, stored.block)
        self.facts.blocks.put(fact, now)

    def remember(self, key: str, payload: bytes) -> None:
        """Keep what was written, in case that the store loses it."""
        self.written.pop(key, None)
        self.written[key] = payload
        if len(self.written) > MAX_PENDING:
            self.written.pop(next(iter(self.written)))

    async def write(self) -> None:
        """Write changes one after the other; repeat failed writes."""
        while True:
            await self.has_pending.wait()
            for key, payload in tuple(self.pending.items()):
                written = await self.store.put(StoreTopic.BLOCKS, key, payload)
                if written.is_error():
                    logging.warning(
                        'block_not_written %s', written.error.detail
                    )
                    await asyncio.sleep(RETRY_SECONDS)
                elif self.pending.get(key) == payload:
                    self.pending.pop(key)
                    self.remember(key, payload)
            if not self.pending:
                self.has_pending.clear()


def log_rejected(record: KeyedRecord, detail: str) -> None:
    """Log a record that is not used; all records are read only once."""
    logging.warning('block_record_rejected %r: %s', record.key, detail)
