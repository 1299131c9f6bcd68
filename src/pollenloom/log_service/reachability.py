"""Records when the platform goes and when it comes back."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.observability.event_log import EventLog


class Reachability:
    """Turns the results of calls into one event for each change."""

    def __init__(self, events: 'EventLog', own: 'VmId') -> None:
        self.events = events
        self.own = own
        self.reachable = True

    def note(self, *, reachable: bool, reason: str = '') -> None:
        """Note the result of a call, with the reason of a failure."""
        if reachable is self.reachable:
            return
        self.reachable = reachable
        name = 'platform_reachable' if reachable else 'platform_unreachable'
        self.events.record(name, self.own, reason=reason)
