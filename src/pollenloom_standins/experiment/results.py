"""Figures of one run."""

import msgspec


class Quantiles(msgspec.Struct, frozen=True, kw_only=True):
    """Seconds.

    Attributes:
        count: Number of observations.
        median: Half of them are lower.
        p95: 95 in 100 of them are lower.
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
        largest_gap: The same for the worst window.
        mean_service: Tokens / share of these accounts, mean.
        least_part: Tokens / share of the worst served account as a part of
            the mean; median of the windows.
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
        busy_while_waiting: Part of the slots that was busy while at least
            one request waited for its first token for over 0.25 s.
        waiting_time: Part of the time in which one waited.
        overloaded_time: Part of the time in which a server had more requests
            than slots.
        peak_load: Most requests of a server, divided by its slots.
        tokens_per_second: Tokens that callers got.
    """

    busy_while_waiting: float = 0
    waiting_time: float = 0
    overloaded_time: float = 0
    peak_load: float = 0
    tokens_per_second: float = 0


class RouterUse(msgspec.Struct, frozen=True, kw_only=True):
    """Means for one router and second.

    Attributes:
        sent_bytes: Bytes sent to other routers.
        received_bytes: Bytes received from other routers.
        sent_frames: Frames sent to other routers.
        processor_seconds: Processor time, user and system.
        busiest_processor_seconds: The same for the busiest router.
        memory_bytes: Largest resident memory of a router.
        processor_wait: Time that a router was ready to run and got no
            processor; above a few percent other work disturbed the run.
    """

    sent_bytes: float = 0
    received_bytes: float = 0
    sent_frames: float = 0
    processor_seconds: float = 0
    busiest_processor_seconds: float = 0
    memory_bytes: int = 0
    processor_wait: float = 0


class CallCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Calls by their end.

    Attributes:
        sent: All.
        served: Whole answers.
        refused: Refused as not run.
        failed: Other errors and broken answers.
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
        variant: What was compared, for instance the policy.
        seed: Seed of the arrivals.
        seconds: Length of the load.
        calls: Model calls.
        reads: Calls of the application.
        gaps: Fairness.
        utilisation: Use of slots.
        first_token: Model calls of all accounts.
        first_token_small: Those of accounts below their share.
        token_gap: Time between tokens.
        read_time: Calls of the application.
        idle_use: Routers before the load.
        load_use: Routers under load.
        owner_changes: Pools that got another owner during the load, and
            owners that started anew after a pause.
        figures: Further figures of the experiment.
        notes: Details of errors, with their number.
        curves: Tokens / share of busy accounts, each half second.
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
