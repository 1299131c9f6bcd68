"""Turns records of the log into the register `configuration`."""

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
    """Applies records one after the other in a thread of their own.

    Checking a changed file of 2,600 client accounts takes some tenths of a
    second, for which answers must not stop.

    Attributes:
        history: Only used by the task that runs the steps.
        unfinished: Steps that wait or run.
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
        self.unfinished = 0
        log.subscribe(ConfigurationChange, self.take_record)
        log.subscribe(ConfigurationSnapshot, self.take_record)
        log.watch_gaps(self.take_gap)

    @property
    def is_idle(self) -> bool:
        """Whether the history holds all that was handed out."""
        return self.unfinished == 0

    def take_record(
        self,
        offset: Offset,
        appended_at: float,
        entry: ConfigurationChange | ConfigurationSnapshot,
    ) -> None:
        """Queue a record of the log."""
        self.add(partial(self.history.apply, offset, appended_at, entry))

    def take_gap(self, earliest: Offset) -> None:
        """Queue the news of missed records."""
        self.add(partial(self.history.miss, earliest))

    def take_register(self, snapshot: ConfigurationSnapshot) -> None:
        """Queue a configuration that another router knows."""
        self.add(partial(self.history.adopt, snapshot))

    def settle(self) -> None:
        """Queue the end of the wait for a snapshot."""
        self.add(self.history.settle)

    def add(self, step: Step) -> None:
        """Queue a step."""
        self.unfinished += 1
        self.steps.put_nowait(step)

    async def follow(self) -> None:
        """Run the steps and spread what they put in force."""
        while True:
            step = await self.steps.get()
            try:
                await self.run(step)
            except Exception:
                # A record that cannot be judged is passed over by all.
                logging.exception('configuration_step_failed')
            self.unfinished -= 1

    async def run(self, step: Step) -> None:
        """Run one step."""
        before = self.history.revision
        outcomes = await asyncio.to_thread(step)
        state = self.history.state
        if state.revision > before:
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
