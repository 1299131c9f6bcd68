"""Time limits of requests that a planned stop brings forward."""

import asyncio
import math
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from typing import Final

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import RouteId
from pollenloom.frontend.stop_plan import NO_STOP, StopPlan
from pollenloom.kernel.clock import Clock
from pollenloom.routing.route_durations import RouteDurations

# Another router can take a request that is refused for a stop at once.
STOP_RETRY_AFTER_SECONDS: Final = 0.05

LatestTime = Callable[[StopPlan], float]


class StopLimits:
    """Ends waiting and running requests at the times of a stop plan.

    Attributes:
        plan: Plan in force; unlimited until a stop begins.
        limits: Time limits of the scopes that are running.
        durations: Durations of the latest requests.
        cut_requests: Number of requests that were ended by the stop.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.plan = NO_STOP
        self.limits: dict[asyncio.Timeout, LatestTime] = {}
        self.durations = RouteDurations()
        self.cut_requests = 0

    def begin(self, plan: StopPlan) -> None:
        """Apply a plan to the running scopes and to later ones."""
        self.plan = plan
        for timeout in self.limits:
            self.schedule(timeout)

    def latest_send(
        self, route: RouteId, deadline: float, plan: StopPlan
    ) -> float:
        """Return until when a request may be passed on, monotonic seconds."""
        return plan.latest_send(deadline, self.durations.longest(route))

    def may_send(self, route: RouteId, deadline: float) -> bool:
        """Whether a request may be passed on now."""
        latest = self.latest_send(route, deadline, self.plan)
        return self.clock.monotonic() < latest

    @asynccontextmanager
    async def while_sendable(
        self, route: RouteId, deadline: float
    ) -> AsyncGenerator[None, None]:
        """Limit a scope to the time in which a request may be passed on.

        Raises:
            TimeoutError: If that time is over, before or in the scope.
        """
        if not self.may_send(route, deadline):
            raise TimeoutError
        async with self.until(
            lambda plan: self.latest_send(route, deadline, plan)
        ):
            yield

    @asynccontextmanager
    async def until(self, latest: LatestTime) -> AsyncGenerator[None]:
        """Limit a scope to the monotonic time that `latest` returns.

        It is asked again when a stop begins.

        Raises:
            TimeoutError: If the scope has not ended by then.
        """
        async with asyncio.timeout(None) as timeout:
            self.limits[timeout] = latest
            self.schedule(timeout)
            try:
                yield
            finally:
                self.limits.pop(timeout)

    def schedule(self, timeout: asyncio.Timeout) -> None:
        """Set the time of a limit by the plan in force."""
        if timeout.expired():
            return
        latest = self.limits[timeout](self.plan)
        if latest == math.inf:
            timeout.reschedule(None)
            return
        seconds = latest - self.clock.monotonic()
        timeout.reschedule(asyncio.get_running_loop().time() + max(0, seconds))


def stopping_failure() -> Failure:
    """Return the failure of a request that is refused for a planned stop."""
    return Failure(
        ErrorKind.SHUTTING_DOWN,
        'the response may not end before the router does',
        retry_after_seconds=STOP_RETRY_AFTER_SECONDS,
    )
