"""Version moves that operators order through the platform's store."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Final

from absl import logging

from pollenloom.catalogue.catalogue import Catalogue
from pollenloom.catalogue.fleet_directory import FleetDirectory
from pollenloom.catalogue.keyed_record import KeyedRecord, Listing
from pollenloom.catalogue.keyed_store import KeyedStore
from pollenloom.catalogue.listing_kind import ListingKind
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.catalogue.move_status import MoveStatus
from pollenloom.catalogue.operator_change import MoveOrder
from pollenloom.catalogue.rejected_records import RejectedRecords
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.catalogue.topic_follower import TopicFollower
from pollenloom.core.ids import ResponseClass, ServiceId, VersionId, VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.rendezvous_ranking import RendezvousRanking
from pollenloom.moves.change_test import ChangeTest
from pollenloom.moves.fleet_moves import FleetMoves
from pollenloom.moves.ordered_move import OrderedMove
from pollenloom.moves.response_counter import ResponseCounter
from pollenloom.moves.response_report import ResponseReport
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.routing.fleet_router import FleetRouter
from pollenloom.routing.service_load import ServiceLoad, add_loads
from pollenloom.settings.node_settings import NodeSettings

EVALUATION_SECONDS: Final = 0.2
# Part of the allowed share that unproven versions get: routers count their
# shares separately, and the operators count retries and lost requests too.
TRIAL_SHARE_FACTOR: Final = 0.9
# A router writes a state when those ranked before it had this long for it, in
# seconds for each rank.
TAKEOVER_SECONDS: Final = 0.4
# Part of the fleet whose evidence is needed to accept a version.
MIN_FLEET_SHARE: Final = 0.5


class StoreMoves(FleetMoves):
    """Evaluates ordered moves on all routers alike.

    Each router adds up the responses that all routers report. One that finds
    a version bad stops using it at once. The state is written to the store by
    the first router in a ranking, or by the next ones if it does not; a write
    has no effect if the topic has a newer record.

    Attributes:
        moves: Ordered moves, by service.
        counters: Counts of this router, by service.
        follower: Reader of the states; None before the first order.
        is_read: Whether the states were read.
        rejected: States that could not be decoded.
    """

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        self.kernel = kernel
        self.vm = settings.vm
        self.trial_share = settings.bounds.trial_share * TRIAL_SHARE_FACTOR
        self.moves: dict[ServiceId, OrderedMove] = {}
        self.counters: dict[ServiceId, ResponseCounter] = {}
        self.follower: TopicFollower | None = None
        self.is_read = False
        self.rejected = RejectedRecords('store_record_rejected')

    async def start(self) -> None:
        """Find the other services and follow the orders."""
        find = self.kernel.find
        self.events = find(KernelServiceName.EVENTS, EventLog)
        self.store = find(KernelServiceName.KEYED_STORE, KeyedStore)
        self.catalogue = find(KernelServiceName.CATALOGUE, Catalogue)
        self.exchange = find(KernelServiceName.LOAD_EXCHANGE, LoadExchange)
        self.fleet_directory = find(
            KernelServiceName.FLEET_DIRECTORY,
            FleetDirectory,
        )
        self.catalogue.watch(self.apply_orders)
        self.kernel.spawn('version-moves', self.run())

    async def stop(self) -> None:
        """Do nothing; the kernel ends the tasks."""

    def share(self, service: ServiceId, version: VersionId) -> float:
        """Return the share of the requests that a version may get, 0 to 1.

        An unproven version gets none before the states were read, since it
        may have been found bad.
        """
        move = self.moves.get(service)
        if move is None:
            return 1
        return move.share(version, self.trial_share if self.is_read else 0)

    def record_response(self, report: ResponseReport) -> None:
        """Count a response; those without a move set the baselines."""
        self.counter(report.service).count(report)

    def responses(self, service: ServiceId) -> Mapping[ResponseClass, float]:
        """Return the counts of this router in a move that has not ended.

        A copy: reports are kept, to subtract them from later sums.
        """
        move = self.moves.get(service)
        if move is None or move.has_ended:
            return {}
        return dict(self.counter(service).counts)

    def counter(self, service: ServiceId) -> ResponseCounter:
        """Return the counter of a service."""
        counter = self.counters.get(service)
        if counter is None:
            counter = ResponseCounter()
            self.counters[service] = counter
        return counter

    def apply_orders(self) -> None:
        """Begin moves that were ordered, and drop those withdrawn."""
        orders = self.catalogue.move_orders
        for service in self.moves.keys() - orders.keys():
            self.moves.pop(service)
            self.counter(service).begin(None)
        for service, order in orders.items():
            move = self.moves.get(service)
            if order.to_version and (move is None or move.order != order):
                self.begin(service, order, order.to_version)

    def begin(
        self, service: ServiceId, order: MoveOrder, to_version: VersionId
    ) -> None:
        """Begin a move."""
        now = self.kernel.clock.monotonic()
        self.moves[service] = OrderedMove(order, to_version, now)
        self.counter(service).begin(to_version)
        if self.follower is None:
            self.follower = TopicFollower(
                self.kernel, StoreTopic.MOVES, self.apply_states
            )
            self.kernel.spawn('version-move-states', self.follower.run())

    def apply_states(
        self, listing: Listing, kind: ListingKind
    ) -> tuple[KeyedRecord, ...]:
        """Apply states that routers wrote; return the records.

        A store that has come back from an older copy may lack the latest ones.
        """
        if kind is ListingKind.RESTORED:
            for move in self.moves.values():
                move.is_lost = move.state is not None
        for record in listing.records:
            decoded = self.store.read_move_status(record)
            if decoded.is_error():
                self.rejected.add(
                    record.key,
                    decoded.error.detail,
                    self.kernel.clock.monotonic(),
                )
            elif decoded.ok is not None:
                self.apply_state(decoded.ok)
        self.is_read = self.is_read or kind.has_all_keys
        return listing.records

    def apply_state(self, status: MoveStatus) -> None:
        """Apply a state, unless it belongs to an earlier order."""
        move = self.moves.get(status.service)
        if move is None or move.to_version != status.to_version:
            return
        if move.state is status.state:
            move.is_lost = False
        if move.has_ended or move.state is status.state:
            return
        move.state = status.state
        self.record_state(move, status, 'read from the store')

    def record_state(
        self, move: OrderedMove, status: MoveStatus, reason: str
    ) -> None:
        """Record a state that is in force at this router from now on."""
        self.events.record(
            f'move_{status.state.value}',
            f'{status.service}/{status.to_version}',
            service=status.service,
            stage=0,
            reason=reason,
            evidence=describe_evidence(move.test),
        )

    async def run(self) -> None:
        """Evaluate the moves until the kernel ends the task."""
        while True:
            await asyncio.sleep(EVALUATION_SECONDS)
            for service in tuple(self.moves):
                await self.evaluate(service)

    async def evaluate(self, service: ServiceId) -> None:
        """Evaluate one move; write its state if it is this router's turn."""
        move = self.moves.get(service)
        # The order may have been withdrawn while another move was evaluated.
        if move is None or (move.has_ended and not move.is_lost):
            return
        now = self.kernel.clock.monotonic()
        self.observe(service, move, now)
        state = move.next_state(now, sees_fleet=self.sees_fleet(now))
        if state is move.state and not move.is_lost:
            move.due_since = None
            return
        if move.due_since is None:
            move.due_since = now
        rank = writer_rank(service, self.vm, self.fleet_directory.routers())
        if now - move.due_since >= rank * TAKEOVER_SECONDS:
            await self.write(move, MoveStatus(service, move.to_version, state))

    def observe(
        self, service: ServiceId, move: OrderedMove, now: float
    ) -> None:
        """Test the responses of the fleet; stop using a bad version."""
        local = ServiceLoad(responses=self.counter(service).counts)
        remote = self.exchange.remote_load(service, now)
        move.test.observe(add_loads((local, remote)).responses)
        if move.test.is_bad and not move.is_stopped:
            move.is_stopped = True
            self.events.record(
                EventName.VERSION_STOPPED,
                f'{service}/{move.to_version}',
                service=service,
                evidence=describe_evidence(move.test),
            )

    def sees_fleet(self, now: float) -> bool:
        """Whether most routers report their responses to this one."""
        seen = self.exchange.table.summed_routers + 1
        return seen >= self.fleet_directory.size(now) * MIN_FLEET_SHARE

    async def write(self, move: OrderedMove, status: MoveStatus) -> None:
        """Write a state if no other router wrote one that is not read yet.

        A position of an earlier era proves nothing about that.
        """
        if self.follower is None or self.follower.state.position is None:
            return
        if self.follower.state.era != self.store.era:
            return
        end = self.follower.state.position
        written = await self.store.put_move_status(status, end)
        if written.is_error():
            logging.warning(
                'move_state_not_written %s: %s',
                status.service,
                written.error.detail,
            )
            return
        move.due_since = None
        move.is_lost = False
        if move.state is not status.state:
            move.state = status.state
            self.record_state(move, status, 'written by this router')


def describe_evidence(test: ChangeTest) -> str:
    """Return the evidence on a new version for event records."""
    return f'{test.responses:.0f} responses, ratio {test.largest:.1f}'


def writer_rank(
    service: ServiceId, vm: VmId, routers: Iterable[FleetRouter]
) -> int:
    """Return how many routers are to write the state before `vm` does."""
    ranked = RendezvousRanking(router.vm for router in routers).ranked(service)
    return ranked.index(vm) if vm in ranked else len(ranked)
