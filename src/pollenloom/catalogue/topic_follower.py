"""Reading of one topic of the store, from its newest records on."""

import asyncio
from collections.abc import Callable
from typing import Final

from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.listing_kind import ListingKind
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.catalogue.topic_relay import TopicRelay
from pollenloom.catalogue.topic_state import TopicState, TopicUpdate
from pollenloom.core.failure import Failure
from pollenloom.core.ids import Offset
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName

# Time that a read waits for a record. A dead connection is noticed after this
# time plus the timeout of a call, three seconds in all.
READ_WAIT_SECONDS: Final = 2.0
# Pause after a read that returned records. Calls cost money; two reads a
# second are enough for a drain to apply within the required two seconds.
READ_PAUSE_SECONDS: Final = 0.5
# A failed read is repeated so long after its start, and after a pause. The end
# of an outage, or of a cut of this router, is then noticed within 0.6 s. From
# then on removals wait for 2.3 s, and routers that have been in touch again for
# 3 s must have applied them.
RETRY_INTERVAL_SECONDS: Final = 0.5
MIN_RETRY_PAUSE_SECONDS: Final = 0.1
# No entry expires in an outage up to this length: servers are removed after
# three missed heartbeats.
SHORT_OUTAGE_SECONDS: Final = 1.0

# A router that receives updates from others reads the store itself when they
# are older than this. A collector reads at least every 0.9 s.
MAX_AGE_SECONDS: Final = 1.4
# A collector's read waits only this long, so that its updates are fresh.
RELAY_READ_WAIT_SECONDS: Final = 0.4
# Interval at which a router checks whether relayed updates are still fresh.
RELAY_CHECK_SECONDS: Final = 0.1

Records = tuple[KeyedRecord, ...]
ListingHandler = Callable[[Listing, ListingKind], Records]


class TopicFollower:
    """One task that reads a topic, unless other routers relay it.

    Attributes:
        apply_listing: Called with each listing and its kind; returns the
            records that are relayed to other routers.
        on_recovered: Called with the monotonic time when the store responds
            again after an outage, or has come back from an older copy; None
            if not needed.
        wait_seconds: Time that a read waits for a record.
        pause_seconds: Pause after a read that returned records.
        unreachable_since: Start of the current outage, monotonic seconds;
            None if the store responds.
    """

    def __init__(
        self,
        kernel: Kernel,
        topic: StoreTopic,
        apply_listing: ListingHandler,
        on_recovered: Callable[[float], None] | None = None,
        wait_seconds: float = READ_WAIT_SECONDS,
        pause_seconds: float = READ_PAUSE_SECONDS,
        max_age_seconds: float = MAX_AGE_SECONDS,
    ) -> None:
        self.kernel = kernel
        self.topic = topic
        self.apply_listing = apply_listing
        self.on_recovered = on_recovered
        self.wait_seconds = wait_seconds
        self.pause_seconds = pause_seconds
        self.state = TopicState(max_age_seconds)
        self.events = kernel.find(KernelServiceName.EVENTS, EventLog)
        self.store = kernel.find(
            KernelServiceName.KEYED_STORE,
            KeyedStore,
        )
        self.relay = kernel.find(KernelServiceName.TOPIC_RELAY, TopicRelay)
        self.relay.add_topic(topic, self.state, self.receive_update)
        self.unreachable_since: float | None = None

    async def run(self) -> None:
        """Read the topic until the kernel ends the task."""
        while True:
            await self.read_all_keys()
            await self.read_changes()

    async def read_all_keys(self) -> None:
        """Read the newest record of each key; repeat until it succeeds."""
        while True:
            requested_at = self.kernel.clock.monotonic()
            listing = await self.store.newest(self.topic)
            if listing.is_ok():
                self.mark_reachable()
                self.apply_all_keys(listing.ok, requested_at)
                return
            self.mark_unreachable(listing.error)
            await self.pause_after_failure(requested_at)

    def apply_all_keys(self, listing: Listing, requested_at: float) -> None:
        """Apply the newest records of all keys."""
        kind = ListingKind.ALL_KEYS
        if self.state.position is not None and listing.era != self.state.era:
            kind = ListingKind.RESTORED
            self.events.record(
                EventName.STORE_RESTORED,
                self.topic.value,
                era=listing.era,
                before=self.state.era,
                position=listing.next_offset,
                position_before=self.state.position,
            )
            if self.on_recovered:
                self.on_recovered(self.kernel.clock.monotonic())
        self.apply_listing(listing, kind)
        self.state.begin(listing.next_offset, listing.era, requested_at)

    async def read_changes(self) -> None:
        """Read changes until the store lacks some unread ones.

        It has dropped them, or has come back from an older copy.
        """
        while True:
            requested_at = self.kernel.clock.monotonic()
            if self.state.is_relayed(requested_at):
                await asyncio.sleep(RELAY_CHECK_SECONDS)
                continue
            read = await self.store.changes(
                self.topic,
                self.state.position or Offset(0),
                self.longest_wait(),
            )
            if read.is_error():
                self.mark_unreachable(read.error)
                await self.pause_after_failure(requested_at)
                continue
            self.mark_reachable()
            listing = read.ok
            if listing.is_gap or listing.era != self.state.era:
                self.events.record(
                    EventName.LOG_RECORDS_MISSED,
                    self.topic.value,
                    earliest=self.state.position,
                )
                return
            self.state.read_at = requested_at
            self.apply_changes(listing.records, listing.next_offset)
            if listing.records:
                await asyncio.sleep(self.pause_seconds)

    async def pause_after_failure(self, requested_at: float) -> None:
        """Wait until a failed read may be repeated.

        `requested_at` is its start in monotonic seconds.
        """
        spent = self.kernel.clock.monotonic() - requested_at
        await asyncio.sleep(
            max(MIN_RETRY_PAUSE_SECONDS, RETRY_INTERVAL_SECONDS - spent)
        )

    def longest_wait(self) -> float:
        """Seconds that a read may wait for a record.

        A read that waits may have hung since the outage, and would be given up
        long after its end.
        """
        if self.unreachable_since is not None:
            return 0
        if self.relay.has_members:
            return min(RELAY_READ_WAIT_SECONDS, self.wait_seconds)
        return self.wait_seconds

    def receive_update(self, update: TopicUpdate) -> None:
        """Apply what another router has read."""
        now = self.kernel.clock.monotonic()
        records = self.state.apply_update(update, now)
        if records is None:
            return
        self.mark_reachable()
        self.apply_changes(records, update.next_offset)

    def apply_changes(self, records: Records, next_offset: Offset) -> None:
        """Apply records that were not applied before."""
        new_records = self.state.without_known(records)
        relayed: Records = ()
        if new_records:
            relayed = self.apply_listing(
                Listing(new_records, next_offset, era=self.state.era),
                ListingKind.CHANGES,
            )
        now = self.kernel.clock.monotonic()
        self.state.advance(next_offset, relayed, now)

    def mark_unreachable(self, failure: Failure) -> None:
        """Record the start of an outage, on its first failure only.

        A router that receives updates first reads the store when they are too
        old. The outage may have begun after the read that they tell.
        """
        if self.unreachable_since is not None:
            return
        self.unreachable_since = self.kernel.clock.monotonic()
        if self.state.relayed_at > self.state.read_at:
            self.unreachable_since = self.state.relayed_at
        self.events.record(
            EventName.PLATFORM_UNREACHABLE,
            self.topic.value,
            reason=failure.detail,
        )

    def mark_reachable(self) -> None:
        """Record the end of an outage, if there was one."""
        if self.unreachable_since is None:
            return
        now = self.kernel.clock.monotonic()
        seconds = now - self.unreachable_since
        self.unreachable_since = None
        self.events.record(
            EventName.PLATFORM_REACHABLE,
            self.topic.value,
            reason=f'after {seconds:.1f} s',
        )
        if self.on_recovered and seconds > SHORT_OUTAGE_SECONDS:
            self.on_recovered(now)
