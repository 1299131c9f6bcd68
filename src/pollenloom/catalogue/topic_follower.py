"""Reads one topic of the store from its newest records on."""

import asyncio
from collections.abc import Callable
from typing import Final

from pollenloom.catalogue.keyed_record import Listing
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.core.failure import Failure
from pollenloom.core.ids import Offset
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName

# A read waits this long for a record. A connection that went silent shows
# after this time and the limit of a call, together three seconds.
WAIT_SECONDS: Final = 2.0
# Calls cost money; two reads a second bind a drain within its two seconds.
PACE_SECONDS: Final = 0.5
# A store that refuses is asked again after this time.
RETRY_SECONDS: Final = 0.4
# An outage this short loses no entry: servers are missed after three
# heartbeats.
SHORT_OUTAGE_SECONDS: Final = 1.0

Taker = Callable[[Listing, bool], None]


class TopicFollower:
    """One task that reads a topic.

    `take` gets each listing and whether it is a whole one; `on_regained` is
    called with the time when the store answers again after an outage.
    """

    def __init__(
        self,
        kernel: Kernel,
        topic: StoreTopic,
        take: Taker,
        on_regained: Callable[[float], None] | None = None,
        wait_seconds: float = WAIT_SECONDS,
        pace_seconds: float = PACE_SECONDS,
    ) -> None:
        self.kernel = kernel
        self.topic = topic
        self.take = take
        self.on_regained = on_regained
        self.wait_seconds = wait_seconds
        self.pace_seconds = pace_seconds
        self.events = kernel.find(KernelServiceName.EVENTS, EventLog)
        self.store = kernel.find(
            KernelServiceName.KEYED_STORE,
            KeyedStore,
        )
        self.lost_at: float | None = None

    async def run(self) -> None:
        """Read the topic until the kernel ends the task."""
        while True:
            offset = await self.read_whole()
            await self.follow(offset)

    async def read_whole(self) -> Offset:
        """Read all keys; return where to read on."""
        while True:
            listing = await self.store.newest(self.topic)
            if listing.is_ok():
                self.answered()
                self.take(listing.ok, True)
                return listing.ok.next_offset
            self.failed(listing.error)
            await asyncio.sleep(RETRY_SECONDS)

    async def follow(self, offset: Offset) -> None:
        """Read changes until some were dropped."""
        while True:
            read = await self.store.changes(
                self.topic,
                offset,
                self.wait_seconds,
            )
            if read.is_error():
                self.failed(read.error)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self.answered()
            listing = read.ok
            if listing.is_gap:
                self.events.record(
                    EventName.LOG_RECORDS_MISSED,
                    self.topic.value,
                    earliest=offset,
                )
                return
            offset = listing.next_offset
            if listing.records:
                self.take(listing, False)
                await asyncio.sleep(self.pace_seconds)

    def failed(self, failure: Failure) -> None:
        """Note that the store did not answer."""
        if self.lost_at is not None:
            return
        self.lost_at = self.kernel.clock.monotonic()
        self.events.record(
            EventName.PLATFORM_UNREACHABLE,
            self.topic.value,
            reason=failure.detail,
        )

    def answered(self) -> None:
        """Note that the store answered."""
        if self.lost_at is None:
            return
        now = self.kernel.clock.monotonic()
        seconds = now - self.lost_at
        self.lost_at = None
        self.events.record(
            EventName.PLATFORM_REACHABLE,
            self.topic.value,
            reason=f'after {seconds:.1f} s',
        )
        if self.on_regained and seconds > SHORT_OUTAGE_SECONDS:
            self.on_regained(now)
