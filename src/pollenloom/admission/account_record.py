"""Event records about what client accounts asked and got."""

from collections.abc import Iterable
from typing import Final

from pollenloom.admission.account_activities import AccountActivities
from pollenloom.core.ids import ServiceId
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName

# Accounts in one line, those that asked for most: a line has up to 4 KB, and
# there is one in a second for each service.
MAX_RECORDED_ACCOUNTS: Final = 32


def record_accounts(
    events: EventLog,
    service: ServiceId,
    activities: AccountActivities,
    second: int,
) -> None:
    """Record what the accounts asked and got of a service.

    Nothing is recorded without a request of an account: those on public routes
    are nobody's share.

    Args:
        events: Event log of the router.
        service: The service.
        activities: What they asked and got within the second.
        second: Begin of the second, in seconds since the Unix epoch.
    """
    recorded = activities.largest(MAX_RECORDED_ACCOUNTS)
    if not recorded:
        return
    listed = recorded.values()
    events.record(
        EventName.ACCOUNT_SHARES,
        service,
        second=second,
        accounts=','.join(recorded),
        asked=join(activity.asked for activity in listed),
        sent=join(activity.sent for activity in listed),
        begun=join(activity.begun for activity in listed),
        refused=join(activity.refused for activity in listed),
        late=join(activity.late for activity in listed),
        largest=join(activity.largest for activity in listed),
        beyond=join(activity.beyond for activity in listed),
        no_room=join(activity.no_room for activity in listed),
        not_begun=join(activity.not_begun for activity in listed),
        repeated=join(activity.repeated for activity in listed),
        surplus=join(activity.surplus for activity in listed),
        left_out=len(activities.named()) - len(recorded),
    )


def join(numbers: Iterable[float]) -> str:
    """Return numbers, rounded, as one field of a log line."""
    return ','.join(str(round(number)) for number in numbers)
