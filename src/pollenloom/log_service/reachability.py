"""Records when the platform becomes unreachable and reachable again."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.observability.event_log import EventLog


class Reachability:
    """Records one event for each change of the platform's reachability."""

    def __init__(self, events: 'EventLog', local_vm: 'VmId') -> None:
        self.events = events
        self.local_vm = local_vm
        self.reachable = True

    def update(self, *, reachable: bool, reason: str = '') -> None:
        """Update from the result of a call; `reason` is that of a failure."""
        if reachable is self.reachable:
            return
        self.reachable = reachable
        name = 'platform_reachable' if reachable else 'platform_unreachable'
        self.events.record(name, self.local_vm, reason=reason)
