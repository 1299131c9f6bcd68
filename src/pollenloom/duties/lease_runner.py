"""Calls to the store for the lease of one duty."""

import asyncio
from collections.abc import Callable
from typing import Final

from absl import logging

from pollenloom.catalogue.duty_messages import DutyNotice
from pollenloom.catalogue.keyed_record import Listing
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.core.failure import Failure
from pollenloom.duties.duty import Duty
from pollenloom.duties.duty_lease import DutyLease
from pollenloom.duties.duty_notices import DutyNotices
from pollenloom.duties.duty_record import (
    DutyRecord,
    decode_record,
    encode_record,
)
from pollenloom.duties.hold_recorder import HoldRecorder
from pollenloom.duties.instant import Instant
from pollenloom.duties.lease_step import LeaseStep
from pollenloom.duties.store_position import StorePosition
from pollenloom.kernel.clock import Clock

RECORD_KEY: Final = 'holder'
# Interval at which a lease is looked at without a reason.
CHECK_SECONDS: Final = 0.25
# Pause after a failed call to the store, and between two reads.
RETRY_SECONDS: Final = 0.4

ClaimDelay = Callable[[float], float | None]


class LeaseRunner:
    """One task that takes the steps of the lease of a duty.

    Attributes:
        topic: Topic of the duty's records.
        claim_delay: Returns by how many seconds a claim at a monotonic time
            waits for those of other routers; None if it must not be made.
        yields_until: Until when this router does not claim, monotonic seconds.
        wake: Set when there may be something to do.
        has_changed: Set, and replaced, after each step.
    """

    def __init__(
        self, duty: Duty, topic: StoreTopic, lease: DutyLease, clock: Clock
    ) -> None:
        self.duty = duty
        self.topic = topic
        self.lease = lease
        self.clock = clock
        self.yields_until = float('-inf')
        self.wake = asyncio.Event()
        self.has_changed = asyncio.Event()

    def begin(
        self,
        store: KeyedStore,
        notices: DutyNotices,
        recorder: HoldRecorder,
        claim_delay: ClaimDelay,
    ) -> None:
        """Set the services that the task uses."""
        self.store = store
        self.notices = notices
        self.recorder = recorder
        self.claim_delay = claim_delay

    async def run(self) -> None:
        """Take steps until the kernel ends the task."""
        last_step = LeaseStep.WAIT
        while True:
            now = Instant.from_clock(self.clock)
            step = self.lease.step(now, self.delay(now))
            self.recorder.record(self.duty, self.lease)
            is_done = await self.take(step)
            self.recorder.record(self.duty, self.lease)
            self.has_changed.set()
            self.has_changed = asyncio.Event()
            is_repeated = step is LeaseStep.READ and last_step is step
            last_step = step
            if is_repeated or not is_done:
                await asyncio.sleep(RETRY_SECONDS)

    def delay(self, now: Instant) -> float | None:
        """Return the delay of a claim; None if none is to be made."""
        is_yielding = now.monotonic < self.yields_until
        if is_yielding or not self.lease.may_claim_soon(now):
            return None
        return self.claim_delay(now.monotonic)

    async def take(self, step: LeaseStep) -> bool:
        """Take one step; return whether its call succeeded."""
        if step is LeaseStep.WAIT:
            await self.wait()
            return True
        if step is LeaseStep.READ:
            return await self.read()
        return await self.write(step)

    async def wait(self) -> None:
        """Wait until there may be something to do."""
        try:
            async with asyncio.timeout(CHECK_SECONDS):
                await self.wake.wait()
        except TimeoutError:
            return
        self.wake.clear()

    async def read(self) -> bool:
        """Read the topic; return whether it succeeded."""
        found = await self.store.newest(self.topic)
        if found.is_error():
            self.log_failure(LeaseStep.READ, found.error)
            return False
        listing: Listing = found.ok
        position = StorePosition(listing.era, listing.next_offset)
        self.lease.observe(
            position, last_record(listing), Instant.from_clock(self.clock)
        )
        self.tell()
        return True

    async def write(self, step: LeaseStep) -> bool:
        """Make the write of a step; return whether it succeeded."""
        write = self.lease.begin_write(step, Instant.from_clock(self.clock))
        written = await self.store.put_at(
            self.topic,
            RECORD_KEY,
            encode_record(write.record),
            write.position.end,
        )
        if written.is_error():
            self.lease.write_failed()
            self.log_failure(step, written.error)
            return False
        self.lease.write_succeeded(
            write,
            written.ok,
            self.store.era,
            Instant.from_clock(self.clock),
        )
        self.tell()
        return True

    def tell(self) -> None:
        """Tell other routers what stands at the end of the topic."""
        position, record = self.lease.sight.position, self.lease.sight.record
        if position is None or record is None:
            return
        self.notices.learn(
            DutyNotice(
                self.duty,
                record.holder,
                record.number,
                position.era,
                position.end,
                record.is_released,
            )
        )

    def log_failure(self, step: LeaseStep, failure: Failure) -> None:
        """Log a failed call; it is repeated."""
        logging.info(
            'duty_call_failed %s %s: %s',
            self.duty.value,
            step.value,
            failure.detail,
        )


def last_record(listing: Listing) -> DutyRecord | None:
    """Return the record directly before the end of a topic, if it is valid."""
    for record in listing.records:
        if record.offset + 1 != listing.next_offset:
            continue
        decoded = decode_record(record.payload)
        if decoded.is_ok():
            return decoded.ok
        logging.warning('duty_record_rejected %s', decoded.error.detail)
    return None
