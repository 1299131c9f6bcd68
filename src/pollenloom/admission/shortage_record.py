"""Event records about services that are short of capacity."""

from pollenloom.admission.local_pool import LocalPool
from pollenloom.catalogue.load_exchange import LoadExchange
from pollenloom.core.ids import ServiceId
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName

# Digits of a part between 0 and 1.
ROOM_DIGITS = 2


def record_shortage(
    events: EventLog,
    service: ServiceId,
    pool: LocalPool,
    exchange: LoadExchange,
    now: float,
) -> None:
    """Record what admission decided lately, and on which inputs.

    Args:
        events: Event log of the router.
        service: Service that is short of capacity.
        pool: Its backlog and servers.
        exchange: Source of the load of other routers.
        now: Monotonic seconds.
    """
    age = exchange.table.fleet_sum_age(now)
    events.record(
        EventName.CAPACITY_SHORT,
        service,
        sent=pool.activity.sent,
        refused=pool.activity.refused,
        timed_out=pool.activity.timed_out,
        beyond_share=pool.activity.beyond_share,
        held_back=pool.activity.held_back,
        without_room=pool.activity.without_room,
        waiting_accounts=len(pool.backlog.queues),
        fair_level=pool.shares.level,
        begun=round(pool.begun(now)),
        taken_room=round(pool.shares.taken_room, ROOM_DIGITS),
        mean_window=round(pool.servers.mean_window()),
        sum_age_ms=None
        if age is None
        else round(age * MILLISECONDS_PER_SECOND),
        sum_routers=exchange.table.summed_routers,
    )
