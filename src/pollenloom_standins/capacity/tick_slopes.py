"""Cost of the regular check of a router's conversations with pool owners."""

from functools import partial
from typing import Any, Final
from unittest.mock import Mock

from pollenloom.admission.admission_scope import AdmissionScope
from pollenloom.admission.demand_sender import DemandSender
from pollenloom.admission.pool_map import Pool
from pollenloom.admission.waiting_queues import WaitingQueues
from pollenloom.core.ids import DataCentreId, PoolId, ServiceId
from pollenloom.kernel.clock import Clock
from pollenloom_standins.capacity.fixed_membership import FixedMembership
from pollenloom_standins.capacity.slope_table import SlopeTable, least_seconds

ROUTERS: Final = 320
POOLS: Final = (25, 75, 150)
TICKS: Final = 20
MICROSECONDS: Final = 1e6
# Before any demand has to be repeated.
PRESENT: Final = 100.0


def make_sender(pools: int) -> DemandSender:
    """Return the sender of a router that nothing waits on."""
    # An idle check uses neither the configuration nor the network.
    unused: Any = Mock()
    scope = AdmissionScope(
        clock=Clock(),
        configuration=unused,
        membership=FixedMembership(ROUTERS),
        peers=unused,
        stream=1,
        shard_servers=16,
    )
    for number in range(pools):
        pool = PoolId(f'service-{number % 5}/dc-1/{number}')
        service = ServiceId(f'service-{number % 5}')
        scope.pool_map.add(Pool(pool, service, DataCentreId('dc-1'), ()))
        scope.owners[pool] = scope.own
    sender = DemandSender(scope, WaitingQueues())
    for pool in scope.owners:
        sender.link(pool).stated_at = PRESENT
    return sender


def tick(sender: DemandSender) -> None:
    """Check all conversations some times."""
    for _ in range(TICKS):
        sender.tick(PRESENT)


def measure_ticks() -> SlopeTable:
    """Measure each number of pools."""
    table = SlopeTable(
        f'check of demand with {ROUTERS} routers, ten times a second',
        'pools',
    )
    for pools in POOLS:
        seconds = least_seconds(partial(tick, make_sender(pools))) / TICKS
        table.rows[pools] = {'check us': MICROSECONDS * seconds}
    return table
