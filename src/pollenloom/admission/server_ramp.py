"""Concurrency limit of one backend server."""

from collections import deque
from dataclasses import dataclass

from pollenloom.core.states import Outcome

# One failure may be the request's own fault; two in so few answers are not.
FAILURES_TO_REDUCE_LIMIT = 2
FAILURE_WINDOW = 16
# Smoothed first-byte latency this far above the baseline means cold. Load
# alone moves it by less than 3x between idle and full.
COLD_LATENCY_FACTOR = 4.0
COLD_MARGIN_SECONDS = 0.1
FAST_WEIGHT = 0.25
SLOW_WEIGHT = 1 / 64
# A lasting change of the workload becomes the baseline in the end.
COLD_WEIGHT = 1 / 256
FIRST_PROBE_DELAY_SECONDS = 0.1
MAX_PROBE_DELAY_SECONDS = 2.0
LEAVING_PAUSE_SECONDS = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerResponse:
    """How a server answered one request.

    Attributes:
        outcome: How the use of the grant ended.
        granted_at: When the request was granted, monotonic seconds.
        first_byte_seconds: Time to the first byte; the whole duration says
            nothing, since a long answer of a warm server takes long as well.
        server_cold: Whether the server said that it is cold.
        server_leaving: Whether the server said that it is leaving.
    """

    outcome: Outcome
    granted_at: float
    first_byte_seconds: float | None = None
    server_cold: bool = False
    server_leaving: bool = False


class ServerRamp:
    """Raises the limit while answers are good and drops it when they are not.

    The limit starts at `cold_slots`, doubles after each round of as many
    good answers as the limit, and falls back on failures, on refusals and
    when the first byte comes much later than from the warm server. A server
    that fails at `cold_slots` is probed with one request after a pause.

    Attributes:
        may_be_cold: Whether the server reports that it is cold, or its first
            report is still awaited; the limit does not rise then.
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
        # Latency that the server had while it reported to be warm.
        self.warm_latency: float = 0

    @property
    def failed_last(self) -> bool:
        """Whether the last answer was a failure."""
        return bool(self.recent_successes) and not self.recent_successes[-1]

    @property
    def cold(self) -> bool:
        """Whether the server is not trusted with all its slots."""
        return self.limit < self.slots

    def limit_at(self, now: float) -> int:
        """Requests that may be in flight now, over the whole fleet."""
        return 0 if now < self.closed_until else self.limit

    def resize(self, slots: int, cold_slots: int) -> None:
        """Use new capacities."""
        was_warm = not self.cold
        self.slots = max(1, slots)
        self.cold_slots = min(max(1, cold_slots), self.slots)
        ceiling = self.slots if was_warm else self.limit
        self.limit = min(self.slots, ceiling)

    def restore(self, in_flight: int) -> None:
        """Continue at what the server is bearing already."""
        handled = min(self.slots, in_flight)
        self.limit = max(self.limit, handled)

    def report_load(self, now: float, *, cold: bool | None) -> None:
        """Take a load report; `cold` is none if the server does not tell."""
        self.may_be_cold = bool(cold)
        if cold and self.enabled:
            self.reduce_to_cold(now)

    def record(self, response: ServerResponse, now: float) -> None:
        """Adapt the limit to an answer."""
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
        """A cold server gets few requests, a full one half as many."""
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
        """Fall back on repeated failures, then probe."""
        self.recent_successes.append(False)
        if self.recent_successes.count(False) < FAILURES_TO_REDUCE_LIMIT:
            return
        self.reduce_to_cold(now)
        if self.recent_successes and not any(self.recent_successes):
            self.limit = 1
            self.delay_next_probe(response, now)

    def record_served(self, response: ServerResponse, now: float) -> None:
        """Count a good answer, unless it came much too late."""
        self.recent_successes.append(True)
        if response.first_byte_seconds is not None:
            self.observe_latency(response.first_byte_seconds)
        # Answers to requests from before a fall say nothing about the limit.
        if response.granted_at < self.reduced_at:
            return
        if self.is_slow():
            self.reduce_to_cold(now)
            # Reports are late: each later fall would outdate the next one.
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
        """Track the present latency and the baseline of the warm server."""
        if self.baseline is None:
            self.baseline = seconds
        if self.latency is None:
            self.latency = self.baseline
        self.latency += FAST_WEIGHT * (seconds - self.latency)
        # A cold start must not become the baseline: follow better values
        # fast and worse values slowly.
        weight = COLD_WEIGHT if self.is_slow() else SLOW_WEIGHT
        if seconds < self.baseline:
            weight = FAST_WEIGHT
        self.baseline += weight * (seconds - self.baseline)

    def is_slow(self) -> bool:
        """Whether the first byte comes much later than from a warm server."""
        if self.baseline is None or self.latency is None:
            return False
        expected = max(self.baseline, self.warm_latency)
        margin = expected + COLD_MARGIN_SECONDS
        return self.latency > max(COLD_LATENCY_FACTOR * expected, margin)

    def confirm_warm(self, at: float) -> None:
        """Take the latency as usual if a server is slow but not cold.

        Prompts that are not cached take many times longer than cached ones,
        which looks like a cold start. Only a report from after the fall tells
        the two apart.
        """
        if at > self.slowed_at and self.latency is not None:
            self.warm_latency = max(self.warm_latency, self.latency)
            self.slowed_at = float('inf')

    def reduce_to_cold(self, now: float) -> None:
        """Go back to what a cold server bears."""
        self.limit = min(self.limit, self.cold_slots)
        self.good_responses = 0
        self.reduced_at = now

    def delay_next_probe(self, response: ServerResponse, now: float) -> None:
        """Wait before the next request, longer after each failed probe."""
        if response.granted_at < self.closed_until:
            return
        pause = FIRST_PROBE_DELAY_SECONDS * 2**self.failed_probes
        self.closed_until = now + min(MAX_PROBE_DELAY_SECONDS, pause)
        self.failed_probes = min(10, self.failed_probes + 1)
