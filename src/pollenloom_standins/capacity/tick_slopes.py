"""Cost of the periodic check of a router's links to pool owners."""

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
from pollenloom_standins.capacity.slope_table import SlopeTable, minimum_seconds

ROUTER_COUNT: Final = 320
POOL_COUNTS: Final = (25, 75, 150)
TICKS: Final = 20
MICROSECONDS_PER_SECOND: Final = 1e6
# Also the time of the last demand, so that none is due to be repeated.
NOW_SECONDS: Final = 100.0


def make_sender(pools: int) -> DemandSender:
    """Return the demand sender of a router without waiting requests."""
    # A check without demand uses neither the configuration nor the network.
    unused: Any = Mock()
    scope = AdmissionScope(
        clock=Clock(),
        configuration=unused,
        membership=FixedMembership(ROUTER_COUNT),
        peers=unused,
        stream=1,
        shard_servers=16,
    )
    for number in range(pools):
        pool = PoolId(f'service-{number % 5}/dc-1/{number}')
        service = ServiceId(f'service-{number % 5}')
        scope.pool_map.add(Pool(pool, service, DataCentreId('dc-1'), ()))
        scope.owners[pool] = scope.local_vm
    sender = DemandSender(scope, WaitingQueues())
    for pool in scope.owners:
        sender.link(pool).reported_at = NOW_SECONDS
    return sender


def tick(sender: DemandSender) -> None:
    """Check the links to all pool owners `TICKS` times."""
    for _ in range(TICKS):
        sender.tick(NOW_SECONDS)


def measure_ticks() -> SlopeTable:
    """Measure a check at each number of pools."""
    table = SlopeTable(
        f'check of demand with {ROUTER_COUNT} routers, ten times a second',
        'pools',
    )
    for pools in POOL_COUNTS:
        seconds = minimum_seconds(partial(tick, make_sender(pools))) / TICKS
        table.rows[pools] = {'check us': MICROSECONDS_PER_SECOND * seconds}
    return table
