"""Applies configuration records of the log to the configuration register."""

import asyncio
from collections.abc import Callable
from functools import partial

from absl import logging

from pollenloom.configuration.change_history import ChangeHistory
from pollenloom.configuration.configuration_register import (
    CONFIGURATION_KEY,
    encode_snapshot,
)
from pollenloom.configuration.log_entries import (
    ConfigurationChange,
    ConfigurationSnapshot,
)
from pollenloom.configuration.publish_outcome import PublishOutcome
from pollenloom.configuration.register_barrier import RegisterBarrier
from pollenloom.core.ids import Offset
from pollenloom.log_service.log_tail import LogTail
from pollenloom.observability.event_log import EventLog
from pollenloom.validation.file_problem import render_problems

Step = Callable[[], list[PublishOutcome]]


class ChangeFollower:
    """Applies configuration records one after the other in a worker thread.

    Checking a changed file of 2,600 client accounts takes some tenths of a
    second, which must not block the event loop and the responses it serves.

    Attributes:
        history: State of the configuration; changed only by `follow`.
        steps: Queue of the steps to run.
        unfinished_steps: Number of steps that are queued or running.
    """

    def __init__(
        self,
        log: LogTail,
        barrier: RegisterBarrier,
        events: EventLog,
    ) -> None:
        self.barrier = barrier
        self.events = events
        self.history = ChangeHistory()
        self.steps: asyncio.Queue[Step] = asyncio.Queue()
        self.unfinished_steps = 0
        log.subscribe(ConfigurationChange, self.enqueue_record)
        log.subscribe(ConfigurationSnapshot, self.enqueue_record)
        log.watch_gaps(self.enqueue_gap)

    @property
    def is_idle(self) -> bool:
        """Whether all records received so far have been applied."""
        return self.unfinished_steps == 0

    def enqueue_record(
        self,
        offset: Offset,
        appended_at: float,
        entry: ConfigurationChange | ConfigurationSnapshot,
    ) -> None:
        """Queue the application of a log record."""
        self.enqueue(partial(self.history.apply, offset, appended_at, entry))

    def enqueue_gap(self, earliest: Offset) -> None:
        """Queue the gap left by records that were trimmed before being read."""
        self.enqueue(partial(self.history.mark_gap, earliest))

    def enqueue_snapshot(self, snapshot: ConfigurationSnapshot) -> None:
        """Queue the adoption of a snapshot from the configuration register."""
        self.enqueue(partial(self.history.adopt, snapshot))

    def enqueue_pending_decisions(self) -> None:
        """Queue the decisions on changes that wait for a snapshot."""
        self.enqueue(self.history.decide_pending)

    def enqueue(self, step: Step) -> None:
        """Queue a step for `follow`."""
        self.unfinished_steps += 1
        self.steps.put_nowait(step)

    async def follow(self) -> None:
        """Run queued steps in order until the task is cancelled."""
        while True:
            step = await self.steps.get()
            try:
                await self.run_step(step)
            except Exception:
                # All routers skip the same record, so they still agree.
                logging.exception('configuration_step_failed')
            self.unfinished_steps -= 1

    async def run_step(self, step: Step) -> None:
        """Run one step; write a new revision to its register, record events."""
        previous_revision = self.history.revision
        outcomes = await asyncio.to_thread(step)
        state = self.history.state
        if state.revision > previous_revision:
            self.barrier.put(CONFIGURATION_KEY, encode_snapshot(state))
        for outcome in outcomes:
            self.events.record(
                f'publish_{outcome.decision.value}',
                outcome.publish_id,
                publisher=outcome.publisher,
                revision=outcome.revision,
                winner=outcome.winner,
                problems=render_problems(outcome.problems),
            )
