"""Send windows that the routers of a fleet have in common."""

from typing import Final

from pollenloom.admission.local_servers import LocalServers
from pollenloom.core.ids import ServiceId
from pollenloom.routing.decaying_count import DecayingCount, decay_weight
from pollenloom.routing.send_window import bounded_window
from pollenloom.routing.service_load import ServiceLoad

# Time constant with which the windows of a router approach the mean of the
# fleet. Reports are up to 0.2 s old; a shorter time would take back what a
# router has learned since its latest one.
ALIGN_SECONDS: Final = 0.3
WEIGHT_DIGITS: Final = 1


class WindowAlignment:
    """Keeps the windows of this router near the mean of all routers.

    A router adapts its windows to the responses that it sees, and only one
    that sends much can raise them. The shares of accounts follow from the
    windows, so the routers have to agree on them. The mean over the fleet is
    weighted by the responses that each router saw lately.

    Attributes:
        service: Service of the servers.
        servers: Servers with their windows.
        answers: Responses that began lately on this router.
        aligned_at: When the windows were last aligned, monotonic seconds.
    """

    def __init__(
        self, service: ServiceId, servers: LocalServers, answers: DecayingCount
    ) -> None:
        self.service = service
        self.servers = servers
        self.answers = answers
        self.aligned_at = float('-inf')

    def weight(self, now: float) -> float:
        """Return the weight of this router's windows in the mean."""
        if not self.servers.loads:
            return 0
        return round(self.answers.at(now), WEIGHT_DIGITS)

    def weighted_window(self, now: float) -> float:
        """Return the mean window of this router times its weight."""
        return round(self.servers.mean_window() * self.weight(now))

    def fleet_window(self, remote_load: ServiceLoad, now: float) -> float:
        """Return the mean window over the fleet, in tokens.

        It is that of this router if no router has seen a response lately.
        """
        weight = self.weight(now) + remote_load.window_weights.get(
            self.service, 0
        )
        if not weight:
            return self.servers.mean_window()
        remote = remote_load.windows.get(self.service, 0)
        return bounded_window((self.weighted_window(now) + remote) / weight)

    def align(self, remote_load: ServiceLoad, now: float) -> None:
        """Move all windows towards the mean of the fleet."""
        local = self.servers.mean_window()
        part = 1 - decay_weight(now - self.aligned_at, ALIGN_SECONDS)
        self.aligned_at = now
        if local:
            target = self.fleet_window(remote_load, now)
            self.servers.scale_windows(1 + part * (target / local - 1))
