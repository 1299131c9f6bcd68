"""Publishes service files through the platform's log."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import uuid_utils
from expression import Result

from pollenloom.configuration.capacity_warnings import find_warnings
from pollenloom.configuration.file_loader import load_services
from pollenloom.configuration.history_reader import HistoryReader
from pollenloom.configuration.log_entries import ConfigurationChange
from pollenloom.configuration.publish_outcome import (
    PublishDecision,
    PublishOutcome,
)
from pollenloom.configuration.publish_result import (
    PublishResult,
    PublishState,
)
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import PublishId, Revision
from pollenloom.kernel.clock import Clock
from pollenloom.log_service.log_entry import encode_entry
from pollenloom.log_service.platform import Platform
from pollenloom.validation.file_problem import FileProblem

FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 2.0
# A running fleet that has a configuration appends it again within this time
# after an outage of the platform that was longer than the retention time.
SNAPSHOT_WAIT_SECONDS = 5.0

STATE_BY_DECISION: Final = MappingProxyType(
    {
        PublishDecision.ACCEPTED: PublishState.PUBLISHED,
        PublishDecision.LOST: PublishState.LOST,
        PublishDecision.INVALID: PublishState.INVALID,
    }
)


class Publisher:
    """Runs one publish, from reading the base revision to its decision.

    Attributes:
        publisher: Name of the operator who publishes.
        deadline: Monotonic time in seconds at which the publish times out.
        publish_id: Id of the change, the same in all repeated appends.
        may_be_appended: Whether an append may have taken effect.
        detail: Cause of the latest failure.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        publisher: str,
        timeout_seconds: float,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.publisher = publisher
        self.deadline = clock.monotonic() + timeout_seconds
        self.publish_id = PublishId(str(uuid_utils.uuid7()))
        self.reader = HistoryReader(platform)
        self.pause_seconds = FIRST_PAUSE_SECONDS
        self.may_be_appended = False
        self.detail = ''

    async def publish(
        self,
        files: Mapping[str, str],
        base: Revision | None = None,
    ) -> PublishResult:
        """Publish all files of the configuration as one change.

        With a `base`, the publish is lost unless that is the revision in
        force. Without one, it is based on the revision in force at its start.
        """
        if not await self.read_base():
            return self.make_result(PublishState.UNAVAILABLE)
        history = self.reader.history
        loaded = load_services(
            files,
            self.clock.wall(),
            history.dates_in_force(),
        )
        if loaded.problems:
            return self.make_result(PublishState.INVALID, loaded.problems)
        if files == history.state.files:
            return self.make_result(PublishState.UNCHANGED)
        if base not in {None, history.revision}:
            return self.make_result(PublishState.LOST)
        outcome = await self.append(
            ConfigurationChange(
                publish_id=self.publish_id,
                base_revision=history.revision,
                publisher=self.publisher,
                files=dict(files),
            )
        )
        if outcome is None:
            unknown = PublishState.UNKNOWN
            unavailable = PublishState.UNAVAILABLE
            return self.make_result(
                unknown if self.may_be_appended else unavailable
            )
        vm_list = await self.platform.list_vms()
        warnings: tuple[FileProblem, ...] = ()
        if vm_list.is_ok():
            warnings = tuple(find_warnings(loaded.services, vm_list.ok))
        return PublishResult(
            state=STATE_BY_DECISION[outcome.decision],
            publish_id=self.publish_id,
            revision=outcome.revision,
            publisher=outcome.winner,
            problems=outcome.problems,
            warnings=warnings,
        )

    async def read_base(self) -> bool:
        """Read the configuration in force; return False if time is up."""
        try:
            async with asyncio.timeout(self.deadline - self.clock.monotonic()):
                return await self.open_reader()
        except TimeoutError:
            self.detail = 'timed out reading the log'
        return False

    async def open_reader(self) -> bool:
        """Read the log, with retries; return False if time is up."""
        opened = await self.reader.open()
        while opened.is_error():
            self.detail = opened.error.detail
            if not await self.pause():
                return False
            opened = await self.reader.open()
        return await self.wait_for_snapshot()

    async def wait_for_snapshot(self) -> bool:
        """Wait for the fleet to append a trimmed configuration again.

        Returns False if time is up.
        """
        wait_deadline = self.clock.monotonic() + SNAPSHOT_WAIT_SECONDS
        while not self.reader.history.complete:
            if self.clock.monotonic() >= wait_deadline:
                self.reader.history.decide_pending()
                break
            if not await self.pause():
                self.detail = 'the log holds no configuration snapshot yet'
                return False
            await self.reader.read_to_end()
        return True

    async def append(
        self,
        change: ConfigurationChange,
    ) -> PublishOutcome | None:
        """Append until the log holds the decision; return None if time is up.

        After an append without a response, the log is read to its end before
        the change is appended again. If the first copy arrives late, the
        second one has no effect.
        """
        payload = encode_entry(change)
        appended = False
        may_append = True
        while True:
            if may_append and not appended:
                appended = self.record_append(
                    await self.platform.append(payload)
                )
            read = await self.reader.read_to_end()
            outcome = self.reader.history.find_outcome(self.publish_id)
            if outcome is not None:
                return outcome
            may_append = read.is_ok() or not self.may_be_appended
            if not await self.pause():
                return None

    def record_append(self, result: Result[int, Failure]) -> bool:
        """Record the result of an append; return whether it was confirmed."""
        if result.is_ok():
            self.may_be_appended = True
            return True
        failure = result.error
        self.detail = failure.detail
        if failure.kind is not ErrorKind.PLATFORM_UNAVAILABLE:
            self.may_be_appended = True
        return False

    async def pause(self) -> bool:
        """Wait before the next attempt; return False if time is up."""
        if self.clock.monotonic() >= self.deadline:
            return False
        await asyncio.sleep(self.pause_seconds)
        self.pause_seconds = min(self.pause_seconds * 2, LONGEST_PAUSE_SECONDS)
        return True

    def make_result(
        self,
        state: PublishState,
        problems: tuple[FileProblem, ...] = (),
    ) -> PublishResult:
        """Return the result of a publish without a decision in the log."""
        in_force = self.reader.history.state
        return PublishResult(
            state=state,
            publish_id=self.publish_id,
            revision=in_force.revision,
            publisher=in_force.publisher,
            detail=self.detail,
            problems=problems,
        )
