"""Choice of the routers that add up the load reports of a data centre."""

from collections.abc import Iterable
from typing import Final

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.routing.fleet_router import FleetRouter

# One collector adds up the reports; the other can take over at once.
COLLECTORS_PER_DATA_CENTRE: Final = 2
# Replies come every 0.1 s, so a router is unresponsive after five lost ones.
REPLY_TIMEOUT_SECONDS: Final = 0.5
# An unresponsive router may be chosen again after this time.
EXCLUSION_SECONDS: Final = 3.0


class CollectorChoice:
    """Ranks routers by capacity, with unresponsive ones last.

    Collectors are not appointed: any router that receives reports adds them
    up. Reports therefore get a reply even while routers disagree on the list.

    Attributes:
        waiting_since: When the oldest request without a reply was sent, by
            router, monotonic seconds.
        excluded_until: When an unresponsive router may be chosen again,
            monotonic seconds.
    """

    def __init__(self) -> None:
        self.waiting_since: dict[VmId, float] = {}
        self.excluded_until: dict[VmId, float] = {}

    def choose(
        self,
        routers: Iterable[FleetRouter],
        now: float,
    ) -> tuple[FleetRouter, ...]:
        """Return the collectors among routers, in order of preference."""
        self.exclude_unresponsive(now)
        ranked = sorted(
            routers,
            key=lambda router: (
                now < self.excluded_until.get(router.vm, now),
                -router.capacity,
                router.vm,
            ),
        )
        return tuple(ranked[:COLLECTORS_PER_DATA_CENTRE])

    def choose_by_data_centre(
        self,
        routers: Iterable[FleetRouter],
        now: float,
    ) -> dict[DataCentreId, tuple[FleetRouter, ...]]:
        """Return the collectors of each data centre; see `choose`."""
        by_data_centre: dict[DataCentreId, list[FleetRouter]] = {}
        for router in routers:
            by_data_centre.setdefault(router.data_centre, []).append(router)
        return {
            data_centre: self.choose(members, now)
            for data_centre, members in by_data_centre.items()
        }

    def request_sent(self, router: VmId, now: float) -> None:
        """Record a request, unless an earlier one still waits for a reply."""
        self.waiting_since.setdefault(router, now)

    def reply_received(self, router: VmId) -> None:
        """Record a reply, which ends an exclusion."""
        self.waiting_since.pop(router, None)
        self.excluded_until.pop(router, None)

    def exclude_unresponsive(self, now: float) -> None:
        """Exclude routers that have not replied in time."""
        for router, since in tuple(self.waiting_since.items()):
            if now - since > REPLY_TIMEOUT_SECONDS:
                self.waiting_since.pop(router)
                self.excluded_until[router] = now + EXCLUSION_SECONDS
