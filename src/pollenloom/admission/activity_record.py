"""Event records of what admission decided, once a second."""

import asyncio
from collections.abc import Mapping
from typing import Final

from pollenloom.admission.account_record import record_accounts
from pollenloom.admission.local_pool import LocalPool
from pollenloom.admission.placement_record import record_placements
from pollenloom.admission.pool_activity import PoolActivity
from pollenloom.admission.shortage_record import record_shortage
from pollenloom.admission.waiting_record import record_waiting
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.core.ids import ServiceId
from pollenloom.kernel.clock import Clock
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.metrics import Metrics

RECORD_INTERVAL_SECONDS: Final = 1.0


async def record_activity(
    clock: Clock,
    events: EventLog,
    exchange: LoadExchange,
    metrics: Metrics,
    pools: Mapping[ServiceId, LocalPool],
) -> None:
    """Record at the end of each second what was decided within it.

    Seconds are those of the wall clock, so that the records of all routers can
    be added up.
    """
    while True:
        elapsed = clock.wall() % RECORD_INTERVAL_SECONDS
        await asyncio.sleep(RECORD_INTERVAL_SECONDS - elapsed)
        now = clock.monotonic()
        # A timer may fire a moment before or after the second has ended.
        second = round(clock.wall()) - 1
        for service, pool in pools.items():
            if pool.activity.has_shortage:
                record_shortage(events, service, pool, exchange, now)
            record_placements(events, service, pool)
            record_accounts(events, service, pool.activity.accounts, second)
            pool.activity = PoolActivity()
            if pool.waits.is_switched_on:
                record_waiting(events, metrics, service, pool.waits.activity)
            pool.waits.renew(now)
