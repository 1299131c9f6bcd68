"""Costs of a pool owner by the number of backlogged accounts."""

from functools import partial
from typing import Final

from pollenloom.admission.messages import (
    AccountDemand,
    Demand,
    SettledGrant,
    WaitingHead,
)
from pollenloom.admission.pool_allocator import (
    Allocation,
    AllocatorOptions,
    PoolAllocator,
)
from pollenloom.admission.service_totals import ServiceTotals
from pollenloom.admission.totals_exchange import exchange_message
from pollenloom.admission.version_shares import UnlimitedShares
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import (
    AccountId,
    DataCentreId,
    PoolId,
    ServerId,
    ServiceId,
    VersionId,
    VmId,
)
from pollenloom.core.states import Outcome
from pollenloom.peers.peer_codec import PeerCodec
from pollenloom.peers.peer_frame import FrameKind, PeerFrame
from pollenloom_standins.capacity.service_files import account_name
from pollenloom_standins.capacity.slope_table import (
    SlopeTable,
    measure_memory,
    minimum_seconds,
)

BACKLOGGED_COUNTS: Final = (26, 130, 260)
ACCOUNT_COUNT: Final = 2600
SERVER_COUNT: Final = 16
SLOTS_PER_SERVER: Final = 32
ROUTER_COUNT: Final = 64
# Routers on which each backlogged account has waiting requests.
ROUTERS_PER_ACCOUNT: Final = 4
# Waiting requests of a backlogged account on each of these routers.
WAITING_REQUESTS: Final = 64
GRANTS_PER_RUN: Final = 200
POOL: Final = PoolId('service-0/dc-1/0')
SERVICE: Final = ServiceId('service-0')
MICROSECONDS_PER_SECOND: Final = 1e6
KIBIBYTE: Final = 1024
# Later than the time for which a new owner waits for the routers' reports.
NOW_SECONDS: Final = 100.0


class OwnerLoad:
    """A pool owner whose slots are all in use.

    Attributes:
        accounts: Backlogged accounts.
        allocator: Allocator of the pool.
        sequence: Number of the last demand message.
        open_grants: Grants without a settlement, oldest first.
    """

    def __init__(self, backlogged: int) -> None:
        self.accounts = tuple(map(account_name, range(backlogged)))
        shares = {
            account_name(number): float(1 + number % 8)
            for number in range(ACCOUNT_COUNT)
        }
        self.allocator = PoolAllocator(
            POOL,
            SERVICE,
            ServiceTotals(shares),
            UnlimitedShares(),
            AllocatorOptions(),
            'capacity',
        )
        self.allocator.servers.replace(
            [make_server(number) for number in range(SERVER_COUNT)],
            (),
            0,
        )
        self.sequence = 0
        for number, account in enumerate(self.accounts):
            for step in range(ROUTERS_PER_ACCOUNT):
                self.add_demand(account, (number + step) % ROUTER_COUNT)
        self.open_grants = self.allocator.allocate(NOW_SECONDS)

    def add_demand(self, account: AccountId, router: int) -> None:
        """Add waiting requests of an account on a router."""
        self.sequence += 1
        head = WaitingHead(hint=300, age=0.1, prefixes=(1, 2, 3, 4))
        self.allocator.apply_demand(
            VmId(f'router-{router:03}'),
            Demand(
                pool=POOL,
                stream=1,
                sequence=self.sequence,
                acknowledged=self.sequence,
                accounts=(
                    AccountDemand(account, WAITING_REQUESTS, (head,) * 4),
                ),
            ),
            NOW_SECONDS,
        )

    def replace_grants(self) -> None:
        """Settle the oldest grants one by one and grant each slot again."""
        for _ in range(GRANTS_PER_RUN):
            completed = self.open_grants.pop(0)
            self.allocator.settle(make_settlement(completed), NOW_SECONDS)
            self.open_grants.extend(self.allocator.allocate(NOW_SECONDS))

    def exchange_bytes(self) -> int:
        """Return the bytes of an exchange in which all accounts changed."""
        for account in self.accounts:
            self.allocator.totals.charge(POOL, account, 1.5)
        message = exchange_message(self.allocator, set(self.accounts))
        frame = PeerFrame(FrameKind.MESSAGE, 0, message)
        return len(PeerCodec(type(message)).encode(frame))


def make_server(number: int) -> BackendServer:
    """Return a backend server whose slots are the same cold and warm."""
    return BackendServer(
        server=ServerId(f'server-{number:03}'),
        service=SERVICE,
        data_centre=DataCentreId('dc-1'),
        version=VersionId('v1'),
        address=f'127.0.0.1:{number + 1}',
        slots=SLOTS_PER_SERVER,
        cold_slots=SLOTS_PER_SERVER,
    )


def make_settlement(allocation: Allocation) -> SettledGrant:
    """Return the settlement of a grant that served its request."""
    slot = allocation.slot
    return SettledGrant(
        grant_id=slot.grant_id,
        account=slot.account,
        server=slot.server,
        outcome=Outcome.SERVED,
        charged=slot.charged,
        hint=300,
        cost=310,
        first_byte_seconds=0.2,
    )


def measure_owner() -> SlopeTable:
    """Measure a pool owner at each number of backlogged accounts."""
    table = SlopeTable(
        f'pool owner, {SERVER_COUNT} servers, {ACCOUNT_COUNT} accounts, '
        f'each backlogged one on {ROUTERS_PER_ACCOUNT} routers',
        'backlogged accounts',
    )
    for backlogged in BACKLOGGED_COUNTS:
        load, memory_bytes = measure_memory(partial(OwnerLoad, backlogged))
        seconds = minimum_seconds(load.replace_grants) / GRANTS_PER_RUN
        table.rows[backlogged] = {
            'grant and settlement us': MICROSECONDS_PER_SECOND * seconds,
            'exchange bytes': load.exchange_bytes(),
            'memory KiB': memory_bytes / KIBIBYTE,
        }
    return table
