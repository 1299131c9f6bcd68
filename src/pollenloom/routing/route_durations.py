"""How long the latest requests of each route took."""

from collections import deque
from typing import Final

from pollenloom.core.ids import RouteId

# The longest of 64 durations is exceeded by about 1 of 65 later requests.
KEPT_DURATIONS: Final = 64
# Routes come and go with configurations; those unused for longest are
# forgotten.
MAX_ROUTES: Final = 1024


class RouteDurations:
    """Latest durations of requests, by route.

    Attributes:
        durations: Seconds from the end of the wait for a server to the end of
            the response; the latest ones of each route.
    """

    def __init__(self) -> None:
        self.durations: dict[RouteId, deque[float]] = {}

    def add(self, route: RouteId, seconds: float) -> None:
        """Record the duration of a request."""
        latest = self.durations.pop(route, None)
        if latest is None:
            latest = deque(maxlen=KEPT_DURATIONS)
        latest.append(seconds)
        # Puts the route last, behind those that were used less recently.
        self.durations[route] = latest
        if len(self.durations) > MAX_ROUTES:
            self.durations.pop(next(iter(self.durations)))

    def longest(self, route: RouteId) -> float | None:
        """Return the longest recorded duration; None without any."""
        return max(self.durations.get(route, ()), default=None)
