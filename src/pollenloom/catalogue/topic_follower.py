"""Reads one topic of the store from its newest records on."""

import asyncio
from collections.abc import Callable
from typing import Final

from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.catalogue.topic_relay import TopicRelay
from pollenloom.catalogue.topic_state import TopicState, TopicUpdate
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

# Routers that hear of the store from others ask it themselves when what they
# hear is older. A collector asks at least each 0.9 s.
FRESH_SECONDS: Final = 1.4
# A collector's read waits this long, so that what it tells is fresh.
RELAY_WAIT_SECONDS: Final = 0.4
LOOK_SECONDS: Final = 0.1

Records = tuple[KeyedRecord, ...]
Taker = Callable[[Listing, bool], Records]


class TopicFollower:
    """One task that reads a topic, unless others tell what is in it.

    `take` gets each listing and whether it is a whole one, and returns the
    records that are worth telling others; `on_regained` is called with the
    time when the store answers again after an outage.
    """

    def __init__(
        self,
        kernel: Kernel,
        topic: StoreTopic,
        take: Taker,
        on_regained: Callable[[float], None] | None = None,
        wait_seconds: float = WAIT_SECONDS,
        pace_seconds: float = PACE_SECONDS,
        fresh_seconds: float = FRESH_SECONDS,
    ) -> None:
        self.kernel = kernel
        self.topic = topic
        self.take = take
        self.on_regained = on_regained
        self.wait_seconds = wait_seconds
        self.pace_seconds = pace_seconds
        self.state = TopicState(fresh_seconds)
        self.events = kernel.find(KernelServiceName.EVENTS, EventLog)
        self.store = kernel.find(
            KernelServiceName.KEYED_STORE,
            KeyedStore,
        )
        self.relay = kernel.find(KernelServiceName.TOPIC_RELAY, TopicRelay)
        self.relay.follow(topic, self.state, self.hear)
        self.lost_at: float | None = None

    async def run(self) -> None:
        """Read the topic until the kernel ends the task."""
        while True:
            await self.read_whole()
            await self.follow()

    async def read_whole(self) -> None:
        """Read all keys."""
        while True:
            asked_at = self.kernel.clock.monotonic()
            listing = await self.store.newest(self.topic)
            if listing.is_ok():
                self.answered()
                self.take(listing.ok, True)
                self.state.begin(listing.ok.next_offset, asked_at)
                return
            self.failed(listing.error)
            await asyncio.sleep(RETRY_SECONDS)

    async def follow(self) -> None:
        """Read changes until some were dropped."""
        while True:
            asked_at = self.kernel.clock.monotonic()
            if self.state.is_relayed(asked_at):
                await asyncio.sleep(LOOK_SECONDS)
                continue
            read = await self.store.changes(
                self.topic,
                self.state.position or Offset(0),
                self.longest_wait(),
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
                    earliest=self.state.position,
                )
                return
            self.state.read_at = asked_at
            self.apply(listing.records, listing.next_offset)
            if listing.records:
                await asyncio.sleep(self.pace_seconds)

    def longest_wait(self) -> float:
        """Seconds that a read may wait for a record."""
        if self.relay.has_members:
            return min(RELAY_WAIT_SECONDS, self.wait_seconds)
        return self.wait_seconds

    def hear(self, update: TopicUpdate) -> None:
        """Take what another router has read."""
        now = self.kernel.clock.monotonic()
        records = self.state.apply_update(update, now)
        if records is None:
            return
        self.answered()
        self.apply(records, update.next_offset)

    def apply(self, records: Records, next_offset: Offset) -> None:
        """Use records that were not used before."""
        unknown = self.state.unknown(records)
        worth_telling: Records = ()
        if unknown:
            worth_telling = self.take(Listing(unknown, next_offset), False)
        now = self.kernel.clock.monotonic()
        self.state.advance(next_offset, worth_telling, now)

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
