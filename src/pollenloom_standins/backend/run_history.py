"""Records of what a backend server ran."""

import asyncio
from collections import deque
from enum import Enum, unique
from typing import Any, Final

import msgspec

RunTask = asyncio.Task[Any]

MAXIMUM_RECORDS: Final = 200_000


@unique
class RunOutcome(Enum):
    """How a run ended, or that it is still running."""

    RUNNING = 'running'
    SERVED = 'served'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    CUT = 'cut'


class RunRecord(msgspec.Struct, kw_only=True):
    """One run of a request; a repeated request has several records.

    Attributes:
        request_id: Value of `X-Request-Id`; empty if it is absent.
        account: Value of `X-Account`; empty if it is absent.
        path: Path of the request.
        fencing_number: Value of `X-Fencing-Number`; 0 if it is absent.
        started: Wall time, seconds since the Unix epoch.
        ended: Wall time, seconds since the Unix epoch; 0 while it runs.
        outcome: How it ended.
        tokens: Tokens generated; 0 for an application.
        cold: Whether the server was cold when it started.
        running: Requests in progress when it started, including this one.
        cached: Fraction of the prompt's prefix blocks that were cached.
        prompt_tokens: Tokens of the prompt; 0 for an application.
        uncached_tokens: Prompt tokens that were not in the cache.
    """

    request_id: str
    account: str
    path: str
    fencing_number: int
    started: float
    ended: float = 0
    outcome: RunOutcome = RunOutcome.RUNNING
    tokens: int = 0
    cold: bool = False
    running: int = 0
    cached: float = 0
    prompt_tokens: int = 0
    uncached_tokens: float = 0

    def end(self, outcome: RunOutcome, wall: float) -> None:
        """Record the end; an outcome set by an injected fault is kept."""
        if self.outcome is RunOutcome.RUNNING:
            self.outcome = outcome
        self.ended = wall


class RunHistory:
    """Keeps the latest runs and the tasks of those in progress."""

    def __init__(self) -> None:
        self.records: deque[RunRecord] = deque(maxlen=MAXIMUM_RECORDS)
        self.tasks: dict[str, set[RunTask]] = {}

    def add_task(self, request_id: str, task: RunTask | None) -> None:
        """Add a task that runs a request."""
        if task is not None:
            self.tasks.setdefault(request_id, set()).add(task)

    def tasks_of(self, request_id: str) -> tuple[RunTask, ...]:
        """Return the tasks that run a request."""
        return tuple(self.tasks.get(request_id, ()))

    def remove_task(self, request_id: str, task: RunTask | None) -> None:
        """Remove a task that ended."""
        tasks = self.tasks.get(request_id, set())
        if task is not None:
            tasks.discard(task)
        if not tasks:
            self.tasks.pop(request_id, None)
