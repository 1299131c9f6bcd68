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
    least_seconds,
    memory_of,
)

BACKLOGGED: Final = (26, 130, 260)
ACCOUNTS: Final = 2600
SERVERS: Final = 16
SLOTS: Final = 32
ROUTERS: Final = 64
# Each backlogged account waits on this many routers.
ROUTERS_EACH: Final = 4
WAITING: Final = 64
GRANTS: Final = 200
POOL: Final = PoolId('service-0/dc-1/0')
SERVICE: Final = ServiceId('service-0')
MICROSECONDS: Final = 1e6
KIBIBYTE: Final = 1024
# After the time in which a new owner waits for reports.
PRESENT: Final = 100.0


class OwnerLoad:
    """A pool whose slots are all in use, and grants that end one by one."""

    def __init__(self, backlogged: int) -> None:
        self.accounts = tuple(map(account_name, range(backlogged)))
        shares = {
            account_name(number): float(1 + number % 8)
            for number in range(ACCOUNTS)
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
            [make_server(number) for number in range(SERVERS)],
            (),
            0,
        )
        self.sequence = 0
        for number, account in enumerate(self.accounts):
            for step in range(ROUTERS_EACH):
                self.state_demand(account, (number + step) % ROUTERS)
        self.open = self.allocator.allocate(PRESENT)

    def state_demand(self, account: AccountId, router: int) -> None:
        """State that requests of an account wait on a router."""
        self.sequence += 1
        head = WaitingHead(hint=300, age=0.1, prefixes=(1, 2, 3, 4))
        self.allocator.demand(
            VmId(f'router-{router:03}'),
            Demand(
                pool=POOL,
                stream=1,
                sequence=self.sequence,
                acknowledged=self.sequence,
                accounts=(AccountDemand(account, WAITING, (head,) * 4),),
            ),
            PRESENT,
        )

    def turn_over(self) -> None:
        """Settle grants and give their slots to waiting requests."""
        for _ in range(GRANTS):
            ended = self.open.pop(0)
            self.allocator.settle(settle(ended), PRESENT)
            self.open.extend(self.allocator.allocate(PRESENT))

    def exchange_bytes(self) -> int:
        """Return the size of an exchange in which all accounts changed."""
        for account in self.accounts:
            self.allocator.totals.charge(POOL, account, 1.5)
        message = exchange_message(self.allocator, set(self.accounts))
        frame = PeerFrame(FrameKind.MESSAGE, 0, message)
        return len(PeerCodec(type(message)).encode(frame))


def make_server(number: int) -> BackendServer:
    """Return a warm server."""
    return BackendServer(
        server=ServerId(f'server-{number:03}'),
        service=SERVICE,
        data_centre=DataCentreId('dc-1'),
        version=VersionId('v1'),
        address=f'127.0.0.1:{number + 1}',
        slots=SLOTS,
        cold_slots=SLOTS,
    )


def settle(ended: Allocation) -> SettledGrant:
    """Return the settlement of a served request."""
    slot = ended.slot
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
    """Measure each number of backlogged accounts."""
    table = SlopeTable(
        f'pool owner, {SERVERS} servers, {ACCOUNTS} accounts, '
        f'each backlogged one on {ROUTERS_EACH} routers',
        'backlogged accounts',
    )
    for backlogged in BACKLOGGED:
        load, held_bytes = memory_of(partial(OwnerLoad, backlogged))
        seconds = least_seconds(load.turn_over) / GRANTS
        table.rows[backlogged] = {
            'grant and settlement us': MICROSECONDS * seconds,
            'exchange bytes': load.exchange_bytes(),
            'memory KiB': held_bytes / KIBIBYTE,
        }
    return table
