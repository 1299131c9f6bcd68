"""Event records of where work was placed."""

from itertools import islice
from typing import Final

from pollenloom.admission.local_pool import LocalPool
from pollenloom.core.ids import ServiceId
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName

# Names in a record, so that its length is bounded.
MAX_NAMES: Final = 16


def record_placements(
    events: EventLog, service: ServiceId, pool: LocalPool
) -> None:
    """Record where the requests of the last second were sent.

    Nothing is recorded while learning and own data centres are switched off,
    or if no request was sent.
    """
    if pool.servers.draws is None or not pool.activity.sent:
        return
    slow = pool.servers.speeds.slow_servers()
    events.record(
        EventName.WORK_PLACED,
        service,
        sent=pool.activity.sent,
        preferred=pool.activity.preferred,
        elsewhere=pool.activity.elsewhere,
        elsewhere_preferred=pool.activity.elsewhere_preferred,
        slow_servers=len(slow),
        slow=','.join(islice(sorted(slow), MAX_NAMES)),
    )
