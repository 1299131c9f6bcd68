"""Reads the platform's log and dispatches its records."""

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
# VMs that read in place of the log readers retry at a lower rate, to reduce
# the load on a platform that is down.
FALLBACK_RETRY_SECONDS = 5.0
START_POLL_SECONDS = 0.02


class LogReader(LogTail):
    """Polls the log while this VM must read it; see `ReaderRole`."""

    def __init__(self, kernel: Kernel, poll_seconds: float) -> None:
        self.kernel = kernel
        self.poll_seconds = poll_seconds
        self.subscribers = LogSubscribers()
        self.cursor = LogCursor()
        self.read_lock = asyncio.Lock()

    @classmethod
    def from_config(
        cls,
        kernel: Kernel,
        settings: 'PlatformSettings',
    ) -> Self:
        """Create a reader from a router's platform settings."""
        return cls(kernel, settings.poll_seconds)

    async def start(self) -> None:
        """Start the tasks that read the log and the VM list."""
        self.platform = self.kernel.find(
            KernelServiceName.PLATFORM,
            Platform,
        )
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        self.group = ReaderGroup.from_kernel(self.kernel)
        self.reachability = Reachability(self.events, self.group.local_vm)
        vm_lists = VmListReader(self.platform, self.group)
        self.kernel.spawn('log reader', self.follow())
        self.kernel.spawn('VM list reader', vm_lists.follow())

    async def stop(self) -> None:
        """Do nothing; the kernel cancels the tasks."""

    def subscribe(
        self,
        entry_type: type[EntryT],
        handler: Callable[[Offset, float, EntryT], None],
    ) -> None:
        """Call `handler` for each record of a type."""
        self.subscribers.handlers[entry_type].append(handler)

    def watch_gaps(self, listener: Callable[[Offset], None]) -> None:
        """Call `listener` when records were trimmed before they were read."""
        self.subscribers.gap_listeners.append(listener)

    @property
    def position(self) -> Offset:
        """Offset to read next."""
        return self.cursor.position

    @property
    def caught_up(self) -> bool:
        """Whether the last read reached the end of the log."""
        return self.cursor.at_end

    @property
    def earliest_retained_at(self) -> float | None:
        """Platform time since which no record has been missed."""
        return self.cursor.retained_time.complete_since()

    @property
    def retention_seconds(self) -> float | None:
        """How long the platform keeps records; None before the first read."""
        return self.cursor.retention_seconds

    @property
    def is_reader(self) -> bool:
        """Whether this VM is one of the log readers of its data centre."""
        return self.group.local_vm in self.readers()

    def readers(self) -> tuple[VmId, ...]:
        """Log readers of the data centre, in order of rank."""
        return self.group.readers()

    async def read_until(self, offset: Offset) -> Result[Offset, Failure]:
        """Read until the record at `offset` has been dispatched."""
        while self.cursor.position <= offset:
            async with self.read_lock:
                # Another task may have read it while this one waited.
                if self.cursor.position > offset:
                    break
                previous_position = self.cursor.position
                result = await self.read_page()
            if result.is_error():
                return Error(result.error)
            if self.cursor.position == previous_position:
                detail = f'the log ends before offset {offset}'
                return Error(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
        return Ok(self.cursor.position)

    async def follow(self) -> None:
        """Poll the log while this VM must read it."""
        while len(self.kernel.started) < len(self.kernel.services):
            # Services that start later may still subscribe.
            await asyncio.sleep(START_POLL_SECONDS)
        while True:
            pause = self.poll_seconds
            if self.group.must_read():
                succeeded = await self.read_to_end()
                if not succeeded and not self.is_reader:
                    pause = FALLBACK_RETRY_SECONDS
            else:
                self.cursor.at_end = False
            await asyncio.sleep(pause)

    async def read_to_end(self) -> bool:
        """Read all new records and report; return False if a read failed."""
        progress = True
        while progress:
            async with self.read_lock:
                previous_position = self.cursor.position
                result = await self.read_page()
            if result.is_error():
                return False
            progress = (
                self.cursor.position > previous_position
                and not self.cursor.at_end
                # A VM that has just started discovers the other VMs while it
                # reads, and may then no longer have to read.
                and self.group.must_read()
            )
        self.group.report(self.cursor.position)
        return True

    async def read_page(self) -> Result[LogPage, Failure]:
        """Read one page and dispatch its records."""
        result = await self.platform.read(self.cursor.position, PAGE_RECORDS)
        self.reachability.update(
            reachable=result.is_ok(),
            reason='' if result.is_ok() else result.error.detail,
        )
        if result.is_error():
            self.cursor.at_end = False
            return result
        new_records = self.cursor.advance(result.ok)
        if new_records.missed_until is not None:
            self.events.record(
                'log_records_missed',
                self.group.local_vm,
                earliest=new_records.missed_until,
            )
            self.subscribers.notify_gap(new_records.missed_until)
        for record in new_records.records:
            self.subscribers.dispatch(record)
        return result
