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
from pollenloom.observability.event_log import EventLog
from pollenloom.platform.log_page import LogPage
from pollenloom.platform.log_subscribers import LogSubscribers
from pollenloom.platform.log_tail import EntryT, LogTail
from pollenloom.platform.platform import Platform
from pollenloom.platform.reachability import Reachability
from pollenloom.platform.reader_group import ReaderGroup
from pollenloom.platform.retained_time import RetainedTime
from pollenloom.platform.vm_list_reader import VmListReader

if TYPE_CHECKING:
    from pollenloom.settings.router_settings import PlatformSettings

PAGE_RECORDS = 500
# VMs behind the log readers spare a platform that is down.
FAILED_FALLBACK_SECONDS = 5.0


class LogReader(LogTail):
    """Reads the log regularly while this VM has the duty to."""

    def __init__(self, kernel: Kernel, poll_seconds: float) -> None:
        self.kernel = kernel
        self.poll_seconds = poll_seconds
        self.subscribers = LogSubscribers()
        self.next_offset = Offset(0)
        self.at_end = False
        self.retained = RetainedTime()
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
            Platform,  # type: ignore[type-abstract]
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
        return self.next_offset

    @property
    def caught_up(self) -> bool:
        """Whether the last read reached the end of the log."""
        return self.at_end

    @property
    def earliest_retained_at(self) -> float | None:
        """Platform time since which no record has been missed."""
        return self.retained.since()

    @property
    def is_reader(self) -> bool:
        """Whether this VM is one of the log readers of its data centre."""
        return self.group.own in self.readers()

    def readers(self) -> tuple[VmId, ...]:
        """The log readers of the data centre, first one first."""
        return self.group.readers()

    async def read_until(self, offset: Offset) -> Result[Offset, Failure]:
        """Read until the record at `offset` has been handed out."""
        while self.next_offset <= offset:
            async with self.reading:
                # Another caller may have read it in the meantime.
                if self.next_offset > offset:
                    break
                before = self.next_offset
                answer = await self.read_page()
            if answer.is_error():
                return Error(answer.error)
            if self.next_offset == before:
                detail = f'the log ends before offset {offset}'
                return Error(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
        return Ok(self.next_offset)

    async def follow(self) -> None:
        """Read the log while it is this VM's duty."""
        while True:
            pause = self.poll_seconds
            if self.group.must_read():
                succeeded = await self.read_to_end()
                if not succeeded and not self.is_reader:
                    pause = FAILED_FALLBACK_SECONDS
            else:
                self.at_end = False
            await asyncio.sleep(pause)

    async def read_to_end(self) -> bool:
        """Read all new records and report; return whether that worked."""
        progress = True
        while progress:
            async with self.reading:
                before = self.next_offset
                answer = await self.read_page()
            if answer.is_error():
                return False
            progress = self.next_offset > before and not self.at_end
        self.group.report(self.next_offset)
        return True

    async def read_page(self) -> Result[LogPage, Failure]:
        """Read one page and hand out its records."""
        answer = await self.platform.read(self.next_offset, PAGE_RECORDS)
        self.reachability.note(reachable=answer.is_ok())
        if answer.is_ok():
            self.take_page(answer.ok)
        else:
            self.at_end = False
        return answer

    def take_page(self, page: LogPage) -> None:
        """Hand out the records of a page that follows the position."""
        if page.earliest > self.next_offset:
            self.events.record(
                'log_records_missed',
                self.group.own,
                position=self.next_offset,
                earliest=page.earliest,
            )
            self.subscribers.tell_gap(page.earliest)
        for record in page.records:
            if record.offset >= self.next_offset:
                self.retained.add(record.offset, record.appended_at)
                self.subscribers.hand_out(record)
                self.next_offset = Offset(record.offset + 1)
        self.next_offset = max(self.next_offset, page.next)
        self.retained.trim(page.earliest)
        self.at_end = self.next_offset >= page.end
