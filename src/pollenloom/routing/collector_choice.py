"""Which routers add up the load reports of a data centre."""

from collections.abc import Iterable
from typing import Final

from pollenloom.core.ids import VmId
from pollenloom.routing.fleet_router import FleetRouter

# One adds up, the other takes over at once.
COLLECTORS: Final = 2
# Answers come each 0.1 s; five lost ones in a row are a silent router.
SILENCE_SECONDS: Final = 0.5
# A silent router is asked again after this time.
PAUSE_SECONDS: Final = 3.0


class CollectorChoice:
    """Ranks routers by size and leaves silent ones out.

    Nobody is appointed: a router that gets reports adds them up. So routers
    whose lists differ for a while are served all the same.
    """

    def __init__(self) -> None:
        self.asked_since: dict[VmId, float] = {}
        self.silent_until: dict[VmId, float] = {}

    def choose(
        self,
        routers: Iterable[FleetRouter],
        now: float,
    ) -> tuple[FleetRouter, ...]:
        """Return the collectors of a data centre, the first one first."""
        self.note_silence(now)
        ranked = sorted(
            routers,
            key=lambda router: (
                now < self.silent_until.get(router.vm, now),
                -router.capacity,
                router.vm,
            ),
        )
        return tuple(ranked[:COLLECTORS])

    def asked(self, router: VmId, now: float) -> None:
        """Note that a router owes an answer."""
        self.asked_since.setdefault(router, now)

    def answered(self, router: VmId) -> None:
        """Note that a router answered."""
        self.asked_since.pop(router, None)
        self.silent_until.pop(router, None)

    def note_silence(self, now: float) -> None:
        """Leave out for a while who has not answered."""
        for router, since in tuple(self.asked_since.items()):
            if now - since > SILENCE_SECONDS:
                self.asked_since.pop(router)
                self.silent_until[router] = now + PAUSE_SECONDS
