"""Follows the platform's log."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Self

from expression import Error, Ok, Result

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import Offset, VmId
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.log_service.log_cursor import LogCursor
from pollenloom.log_service.log_page import LogPage
from pollenloom.log_service.log_subscribers import LogSubscribers
from pollenloom.log_service.log_tail import EntryT, LogTail
from pollenloom.log_service.platform import Platform
from pollenloom.log_service.reachability import Reachability
from pollenloom.log_service.reader_group import ReaderGroup
from pollenloom.log_service.vm_list_reader import VmListReader
from pollenloom.observability.event_log import EventLog

if TYPE_CHECKING:
    from pollenloom.settings.router_settings import PlatformSettings

PAGE_RECORDS = 500
# VMs behind the log readers spare a platform that is down.
FAILED_FALLBACK_SECONDS = 5.0
START_CHECK_SECONDS = 0.02


class LogReader(LogTail):
    """Reads the log regularly while this VM has the duty to."""

    def __init__(self, kernel: Kernel, poll_seconds: float) -> None:
        self.kernel = kernel
        self.poll_seconds = poll_seconds
        self.subscribers = LogSubscribers()
        self.cursor = LogCursor()
        self.reading = asyncio.Lock()

    @classmethod
    def from_config(
        cls,
        kernel: Kernel,
        settings: 'PlatformSettings',
    ) -> Self:
        """Make a reader with the settings of the platform."""
        return cls(kernel, settings.poll_seconds)

    async def start(self) -> None:
        """Start reading the log and the VM list."""
        self.platform = self.kernel.find(
            KernelServiceName.PLATFORM,
            Platform,
        )
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        self.group = ReaderGroup.from_kernel(self.kernel)
        self.reachability = Reachability(self.events, self.group.own)
        vm_lists = VmListReader(self.platform, self.group)
        self.kernel.spawn('log reader', self.follow())
        self.kernel.spawn('VM list reader', vm_lists.follow())

    async def stop(self) -> None:
        """Nothing to release; the kernel ends the tasks."""

    def subscribe(
        self,
        entry_type: type[EntryT],
        handler: Callable[[Offset, float, EntryT], None],
    ) -> None:
        """Call `handler` for records of a type."""
        self.subscribers.handlers[entry_type].append(handler)

    def watch_gaps(self, listener: Callable[[Offset], None]) -> None:
        """Call `listener` when records were trimmed before being read."""
        self.subscribers.gap_listeners.append(listener)

    @property
    def position(self) -> Offset:
        """Offset to be read next."""
        return self.cursor.position

    @property
    def caught_up(self) -> bool:
        """Whether the last read reached the end of the log."""
        return self.cursor.at_end

    @property
    def earliest_retained_at(self) -> float | None:
        """Platform time since which no record has been missed."""
        return self.cursor.retained.since()

    @property
    def retention_seconds(self) -> float | None:
        """How long the platform keeps records."""
        return self.cursor.retention_seconds

    @property
    def is_reader(self) -> bool:
        """Whether this VM is one of the log readers of its data centre."""
        return self.group.own in self.readers()

    def readers(self) -> tuple[VmId, ...]:
        """The log readers of the data centre, first one first."""
        return self.group.readers()

    async def read_until(self, offset: Offset) -> Result[Offset, Failure]:
        """Read until the record at `offset` has been handed out."""
        while self.cursor.position <= offset:
            async with self.reading:
                # Another caller may have read it in the meantime.
                if self.cursor.position > offset:
                    break
                before = self.cursor.position
                answer = await self.read_page()
            if answer.is_error():
                return Error(answer.error)
            if self.cursor.position == before:
                detail = f'the log ends before offset {offset}'
                return Error(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
        return Ok(self.cursor.position)

    async def follow(self) -> None:
        """Read the log while it is this VM's duty."""
        while len(self.kernel.started) < len(self.kernel.services):
            # A service that starts later may still subscribe.
            await asyncio.sleep(START_CHECK_SECONDS)
        while True:
            pause = self.poll_seconds
            if self.group.must_read():
                succeeded = await self.read_to_end()
                if not succeeded and not self.is_reader:
                    pause = FAILED_FALLBACK_SECONDS
            else:
                self.cursor.at_end = False
            await asyncio.sleep(pause)

    async def read_to_end(self) -> bool:
        """Read all new records and report; return whether that worked."""
        progress = True
        while progress:
            async with self.reading:
                before = self.cursor.position
                answer = await self.read_page()
            if answer.is_error():
                return False
            progress = (
                self.cursor.position > before
                and not self.cursor.at_end
                # A VM that has just started learns of the others meanwhile.
                and self.group.must_read()
            )
        self.group.report(self.cursor.position)
        return True

    async def read_page(self) -> Result[LogPage, Failure]:
        """Read one page and hand out its records."""
        answer = await self.platform.read(self.cursor.position, PAGE_RECORDS)
        self.reachability.note(
            reachable=answer.is_ok(),
            reason='' if answer.is_ok() else answer.error.detail,
        )
        if answer.is_error():
            self.cursor.at_end = False
            return answer
        news = self.cursor.advance(answer.ok)
        if news.missed_until is not None:
            self.events.record(
                'log_records_missed',
                self.group.own,
                earliest=news.missed_until,
            )
            self.subscribers.tell_gap(news.missed_until)
        for record in news.records:
            self.subscribers.hand_out(record)
        return answer
