"""Platform client with an in-memory log and fault injection."""

import asyncio
from collections import deque
from enum import Enum, auto

from expression import Error, Ok, Result

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import Offset
from pollenloom.kernel.clock import Clock
from pollenloom.log_service.log_page import LogPage, LogRecord
from pollenloom.log_service.platform import Platform
from pollenloom.log_service.vm_entry import VmEntry, VmList


class AppendFault(Enum):
    """What happens to an append.

    Attributes:
        NONE: It succeeds.
        REFUSED: It fails, known to have no effect.
        LOST_BEFORE: It has no effect, and its outcome is unknown.
        LOST_AFTER: It takes effect, and its outcome is unknown.
    """

    NONE = auto()
    REFUSED = auto()
    LOST_BEFORE = auto()
    LOST_AFTER = auto()


class MemoryPlatform(Platform):
    """A log and a VM list that all routers of a test share.

    Attributes:
        retention_seconds: Age at which records are removed.
        down: Whether all calls fail without effect.
        cut_at: Reads from this offset on fail; None for no such offset.
        read_faults: Whether each of the next reads fails.
        faults: Faults of the next appends; later ones have none.
        delays: For each of the next calls, how often it yields to the event
            loop first.
        records: Retained records.
        end: Offset of the next record.
        vms: VM list that `list_vms` returns.
    """

    def __init__(self, clock: Clock, retention_seconds: float = 3600) -> None:
        self.clock = clock
        self.retention_seconds = retention_seconds
        self.down = False
        self.cut_at: Offset | None = None
        self.read_faults: deque[bool] = deque()
        self.faults: deque[AppendFault] = deque()
        self.delays: deque[int] = deque()
        self.records: list[LogRecord] = []
        self.end = Offset(0)
        self.vms: tuple[VmEntry, ...] = ()

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    async def append(self, payload: bytes) -> Result[Offset, Failure]:
        """Append a record, subject to the next fault."""
        await self.delay()
        fault = self.faults.popleft() if self.faults else AppendFault.NONE
        if self.down or fault is AppendFault.REFUSED:
            return Error(Failure(ErrorKind.PLATFORM_UNAVAILABLE, 'down'))
        if fault is AppendFault.LOST_BEFORE:
            return Error(Failure(ErrorKind.PLATFORM_UNKNOWN, 'lost'))
        offset = self.add(payload)
        if fault is AppendFault.LOST_AFTER:
            return Error(Failure(ErrorKind.PLATFORM_UNKNOWN, 'lost'))
        return Ok(offset)

    async def read(
        self,
        start: Offset,
        limit: int,
    ) -> Result[LogPage, Failure]:
        """Return at most `limit` retained records from `start` on."""
        await self.delay()
        is_cut = self.cut_at is not None and start >= self.cut_at
        fails = self.read_faults.popleft() if self.read_faults else False
        if self.down or is_cut or fails:
            return Error(Failure(ErrorKind.PLATFORM_UNAVAILABLE, 'down'))
        self.trim()
        page = [record for record in self.records if record.offset >= start][
            :limit
        ]
        following = Offset(page[-1].offset + 1) if page else self.end
        return Ok(
            LogPage(
                records=tuple(page),
                earliest=self.records[0].offset if self.records else self.end,
                next=following,
                end=self.end,
                retention_seconds=self.retention_seconds,
            )
        )

    async def list_vms(self) -> Result[VmList, Failure]:
        """Return the VM list that the test set."""
        if self.down:
            return Error(Failure(ErrorKind.PLATFORM_UNAVAILABLE, 'down'))
        return Ok(VmList(as_of=self.clock.wall(), vms=self.vms))

    async def delay(self) -> None:
        """Yield to other tasks as often as the next delay says."""
        for _ in range(self.delays.popleft() if self.delays else 0):
            await asyncio.sleep(0)

    def add(self, payload: bytes) -> Offset:
        """Append a record; no fault applies."""
        offset = self.end
        record = LogRecord(
            offset=offset,
            appended_at=self.clock.wall(),
            payload=payload,
        )
        self.records.append(record)
        self.end = Offset(offset + 1)
        return offset

    def trim(self) -> None:
        """Remove records older than the retention time."""
        oldest = self.clock.wall() - self.retention_seconds
        self.records = [
            record for record in self.records if record.appended_at >= oldest
        ]
