"""Result of a run, written as JSON."""

import msgspec


class Quantiles(msgspec.Struct, frozen=True, kw_only=True):
    """Quantiles of durations in seconds; 0 for fewer than two durations.

    Attributes:
        count: Number of observations.
        median: Median.
        p95: 95th percentile.
    """

    count: int = 0
    median: float = 0
    p95: float = 0


class WindowGap(msgspec.Struct, frozen=True, kw_only=True):
    """Fairness over windows of one length.

    Attributes:
        seconds: Length of the windows.
        windows: Windows in which at least two accounts were backlogged.
        median_gap: Largest difference of tokens / share between two accounts
            that were backlogged for the whole window; median of the windows.
        largest_gap: Maximum of this difference over the windows.
        mean_service: Mean tokens / share of these accounts.
        least_part: Tokens / share of the account with the least, divided by
            the mean of the accounts; median of the windows.
    """

    seconds: float
    windows: int = 0
    median_gap: float = 0
    largest_gap: float = 0
    mean_service: float = 0
    least_part: float = 0


class Utilisation(msgspec.Struct, frozen=True, kw_only=True):
    """Use of the model servers' slots.

    Attributes:
        busy_while_waiting: Fraction of the slots that was busy while at least
            one request waited for its first token for over 0.25 s.
        waiting_time: Fraction of the time in which such a request waited.
        overloaded_time: Fraction of the time in which a server had more
            requests than slots.
        peak_load: Most concurrent requests of a server, divided by its slots.
        tokens_per_second: Rate of tokens that callers received.
    """

    busy_while_waiting: float = 0
    waiting_time: float = 0
    overloaded_time: float = 0
    peak_load: float = 0
    tokens_per_second: float = 0


class RouterUse(msgspec.Struct, frozen=True, kw_only=True):
    """Use of resources of one router per second, as a mean of the routers.

    Attributes:
        sent_bytes: Bytes sent to other routers.
        received_bytes: Bytes received from other routers.
        sent_frames: Frames sent to other routers.
        processor_seconds: Processor time in seconds, user and system.
        busiest_processor_seconds: Processor time of the busiest router.
        memory_bytes: Largest resident memory of a router, not per second.
        processor_wait: Seconds in which a router was ready to run but had no
            processor; above a few percent, other processes disturbed the
            run.
    """

    sent_bytes: float = 0
    received_bytes: float = 0
    sent_frames: float = 0
    processor_seconds: float = 0
    busiest_processor_seconds: float = 0
    memory_bytes: int = 0
    processor_wait: float = 0


class CallCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Number of calls by outcome.

    Attributes:
        sent: All calls.
        served: Calls with a complete response.
        refused: Calls with an error response that says they were not run.
        failed: Calls with another error or an incomplete response.
        unfinished: In progress or waiting when the load was stopped.
    """

    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unfinished: int = 0


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run.

    Attributes:
        experiment: Name of the experiment.
        workload: Name of the workload.
        variant: Name of the variant, for instance the policy.
        seed: Seed of the arrivals.
        seconds: Length of the load.
        calls: Counts of the model calls.
        reads: Counts of the calls of the application.
        gaps: Fairness for each length of window.
        utilisation: Use of the model servers' slots.
        first_token: Time to the first token of the model calls.
        first_token_small: The same, of accounts below their share.
        token_gap: Time between tokens.
        read_time: Time to the response of the calls of the application.
        idle_use: Routers' use of resources before the load.
        load_use: Routers' use of resources under load.
        owner_changes: Changes of a pool's owner during the load; includes
            owners that took over again after a pause.
        figures: Figures that are specific to the experiment, by name.
        notes: Counts of the most frequent errors, by their detail.
        curves: Cumulative tokens / share of the large and flooding accounts,
            every half second.
    """

    experiment: str
    workload: str
    variant: str
    seed: int
    seconds: float
    calls: CallCounts
    reads: CallCounts
    gaps: tuple[WindowGap, ...]
    utilisation: Utilisation
    first_token: Quantiles
    first_token_small: Quantiles
    token_gap: Quantiles
    read_time: Quantiles
    idle_use: RouterUse
    load_use: RouterUse
    figures: dict[str, float]
    notes: dict[str, int]
    curves: dict[str, tuple[float, ...]]
    owner_changes: int = 0
