"""Concurrency limit of one backend server, which ramps up after a start."""

from collections import deque
from dataclasses import dataclass

from pollenloom.core.states import Outcome

# One failure may be the fault of the request. Two within `FAILURE_WINDOW`
# responses are the server's.
FAILURES_TO_REDUCE_LIMIT = 2
FAILURE_WINDOW = 16
# A server is slow when its smoothed first-byte latency exceeds the baseline by
# this factor and by the margin. Between idle and full, load alone raises the
# latency by less than 3x.
COLD_LATENCY_FACTOR = 4.0
COLD_MARGIN_SECONDS = 0.1
# Weights of a new value in the exponential averages of the latency.
FAST_WEIGHT = 0.25
SLOW_WEIGHT = 1 / 64
# While the server is slow. Not 0, so that a lasting change of the workload
# becomes the baseline in the end.
COLD_WEIGHT = 1 / 256
FIRST_PROBE_DELAY_SECONDS = 0.1
MAX_PROBE_DELAY_SECONDS = 2.0
# How long a server that reported to be shutting down gets no requests.
LEAVING_PAUSE_SECONDS = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerResponse:
    """How a server responded to one request.

    Attributes:
        outcome: How the use of the grant ended.
        granted_at: When the request was granted, monotonic seconds.
        first_byte_seconds: Time to the first byte; None if there was none.
            The total duration is not used, since a long response takes long
            on a warm server too.
        server_cold: Whether the server reported that it is cold.
        server_leaving: Whether the server reported that it is shutting down.
    """

    outcome: Outcome
    granted_at: float
    first_byte_seconds: float | None = None
    server_cold: bool = False
    server_leaving: bool = False


class ServerRamp:
    """Raises the limit after good responses and reduces it after bad ones.

    The limit starts at `cold_slots` and doubles after as many good responses
    as the limit. It is reduced after failures, after refusals, and when the
    first byte arrives much later than from the warm server. If all recent
    responses failed, the server gets single requests as probes, with a
    growing delay in between.

    Attributes:
        slots: Limit of the warm server.
        cold_slots: Limit of the cold server.
        enabled: Whether the limit is adapted; otherwise it is `slots`.
        limit: Current limit, without pauses.
        baseline: First-byte latency of the warm server in seconds; None
            before the first response.
        latency: Smoothed current first-byte latency in seconds.
        good_responses: Good responses counted towards the next raise.
        recent_successes: Whether each of the last responses was good.
        reduced_at: When the limit was last reduced, monotonic seconds.
        closed_until: When a pause without requests ends, monotonic seconds.
        failed_probes: Probes that failed in a row.
        may_be_cold: Whether the server reports that it is cold, or its first
            report is still awaited; the limit does not rise then.
        raised_at: When the limit was last raised, monotonic seconds.
        slowed_at: When the server was first found slow since it last reported
            to be warm, monotonic seconds; infinite if it was not.
        warm_latency: Highest smoothed latency, in seconds, that the server had
            while it reported to be warm.
    """

    def __init__(
        self,
        slots: int,
        cold_slots: int,
        *,
        enabled: bool = True,
        baseline: float | None = None,
        awaits_report: bool = False,
    ) -> None:
        self.slots = max(1, slots)
        self.cold_slots = min(max(1, cold_slots), self.slots)
        self.enabled = enabled
        self.limit = self.cold_slots if enabled else self.slots
        self.baseline = baseline
        self.latency: float | None = None
        self.good_responses = 0
        self.recent_successes: deque[bool] = deque(maxlen=FAILURE_WINDOW)
        self.reduced_at = float('-inf')
        self.closed_until = float('-inf')
        self.failed_probes = 0
        self.may_be_cold = awaits_report
        self.raised_at = float('-inf')
        self.slowed_at = float('inf')
        self.warm_latency: float = 0

    @property
    def failed_last(self) -> bool:
        """Whether the last response was a failure."""
        return bool(self.recent_successes) and not self.recent_successes[-1]

    @property
    def cold(self) -> bool:
        """Whether the limit is below the server's slots."""
        return self.limit < self.slots

    def limit_at(self, now: float) -> int:
        """Requests that may be in flight now, over the whole fleet.

        0 during a pause.
        """
        return 0 if now < self.closed_until else self.limit

    def resize(self, slots: int, cold_slots: int) -> None:
        """Apply new capacities; the limit rises only if it was all slots."""
        was_warm = not self.cold
        self.slots = max(1, slots)
        self.cold_slots = min(max(1, cold_slots), self.slots)
        ceiling = self.slots if was_warm else self.limit
        self.limit = min(self.slots, ceiling)

    def restore(self, in_flight: int) -> None:
        """Raise the limit to the load that the server has already."""
        handled = min(self.slots, in_flight)
        self.limit = max(self.limit, handled)

    def apply_load_report(self, now: float, *, cold: bool | None) -> None:
        """Apply a load report; `cold` is None if the server states nothing."""
        self.may_be_cold = bool(cold)
        if cold and self.enabled:
            self.reduce_to_cold(now)

    def record(self, response: ServerResponse, now: float) -> None:
        """Adapt the limit to a response."""
        if response.server_leaving:
            self.closed_until = now + LEAVING_PAUSE_SECONDS
        if not self.enabled:
            return
        if response.outcome is Outcome.REFUSED:
            self.record_refusal(response, now)
        elif response.outcome is Outcome.FAILED:
            self.record_failure(response, now)
        elif response.outcome is Outcome.SERVED:
            self.record_served(response, now)

    def record_refusal(self, response: ServerResponse, now: float) -> None:
        """Reduce the limit: to `cold_slots` if cold, by half if full."""
        if response.server_cold:
            self.reduce_to_cold(now)
            self.delay_next_probe(response, now)
        elif (
            not response.server_leaving
            and response.granted_at >= self.reduced_at
        ):
            self.limit = max(self.cold_slots, self.limit // 2)
            self.reduced_at = now

    def record_failure(self, response: ServerResponse, now: float) -> None:
        """Reduce the limit on repeated failures; allow probes if all failed."""
        self.recent_successes.append(False)
        if self.recent_successes.count(False) < FAILURES_TO_REDUCE_LIMIT:
            return
        self.reduce_to_cold(now)
        if self.recent_successes and not any(self.recent_successes):
            self.limit = 1
            self.delay_next_probe(response, now)

    def record_served(self, response: ServerResponse, now: float) -> None:
        """Count a good response, or reduce the limit if the server is slow."""
        self.recent_successes.append(True)
        if response.first_byte_seconds is not None:
            self.observe_latency(response.first_byte_seconds)
        # Requests granted before a reduction do not show how the server does
        # at the reduced limit.
        if response.granted_at < self.reduced_at:
            return
        if self.is_slow():
            self.reduce_to_cold(now)
            # Keep the first time: reports arrive late, and a later time would
            # make each report look older than the slowdown.
            self.slowed_at = min(self.slowed_at, now)
            return
        self.failed_probes = 0
        self.good_responses += 1
        if self.good_responses >= self.limit and not self.may_be_cold:
            self.good_responses = 0
            if self.limit < self.slots:
                self.raised_at = now
            self.limit = min(self.slots, self.limit * 2)

    def observe_latency(self, seconds: float) -> None:
        """Track the current latency and the baseline of the warm server."""
        if self.baseline is None:
            self.baseline = seconds
        if self.latency is None:
            self.latency = self.baseline
        self.latency += FAST_WEIGHT * (seconds - self.latency)
        # A cold start must not become the baseline: it follows lower values
        # fast and higher values slowly.
        weight = COLD_WEIGHT if self.is_slow() else SLOW_WEIGHT
        if seconds < self.baseline:
            weight = FAST_WEIGHT
        self.baseline += weight * (seconds - self.baseline)

    def is_slow(self) -> bool:
        """Whether first bytes arrive much later than from the warm server."""
        if self.baseline is None or self.latency is None:
            return False
        expected = max(self.baseline, self.warm_latency)
        margin = expected + COLD_MARGIN_SECONDS
        return self.latency > max(COLD_LATENCY_FACTOR * expected, margin)

    def confirm_warm(self, measured_at: float) -> None:
        """Accept the current latency of a server that reports to be warm.

        Prompts that are not cached take many times longer than cached ones,
        which looks like a cold start. Only a report that was measured after
        the slowdown distinguishes the two.
        """
        if measured_at > self.slowed_at and self.latency is not None:
            self.warm_latency = max(self.warm_latency, self.latency)
            self.slowed_at = float('inf')

    def reduce_to_cold(self, now: float) -> None:
        """Reduce the limit to `cold_slots`."""
        self.limit = min(self.limit, self.cold_slots)
        self.good_responses = 0
        self.reduced_at = now

    def delay_next_probe(self, response: ServerResponse, now: float) -> None:
        """Pause requests; the pause doubles with each failed probe."""
        if response.granted_at < self.closed_until:
            return
        pause = FIRST_PROBE_DELAY_SECONDS * 2**self.failed_probes
        self.closed_until = now + min(MAX_PROBE_DELAY_SECONDS, pause)
        self.failed_probes = min(10, self.failed_probes + 1)
