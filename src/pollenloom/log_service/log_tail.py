"""Interface of the service that follows the platform's log."""

from abc import abstractmethod
from collections.abc import Callable
from typing import ClassVar, TypeVar

from expression import Result

from pollenloom.core.failure import Failure
from pollenloom.core.ids import Offset, VmId
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.log_service.log_entry import LogEntry

EntryT = TypeVar('EntryT', bound=LogEntry)


class LogTail(KernelService):
    """Reads the log in order and hands its records to other services.

    Only the log readers of a data centre read it regularly. A VM that becomes
    a log reader continues at its own position, or at the earliest retained
    record if it has none, so that its subscribers see each retained record
    exactly once and in order of offset.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.LOG

    @abstractmethod
    def subscribe(
        self,
        entry_type: type[EntryT],
        handler: Callable[[Offset, float, EntryT], None],
    ) -> None:
        """Call `handler(offset, appended_at, entry)` for records of a type.

        `appended_at` is platform time, seconds since the Unix epoch. Call it
        before the kernel starts or from `start` of a service; a record that
        was read before is not handed out again.
        """

    @abstractmethod
    def watch_gaps(self, listener: Callable[[Offset], None]) -> None:
        """Call `listener(earliest)` when records were missed.

        That is when all records below `earliest` were trimmed before this
        VM had read them, also at its first read of a trimmed log. The next
        record handed out is at `earliest` or above.
        """

    @abstractmethod
    async def read_until(self, offset: Offset) -> Result[Offset, Failure]:
        """Read until the record at `offset` has been handed out.

        Works on any VM. Returns the offset to be read next, which is above
        `offset`.

        Errors:
            PLATFORM_UNAVAILABLE: Also if the log ends before `offset`.
        """

    @property
    @abstractmethod
    def position(self) -> Offset:
        """Offset to be read next; all records below have been handed out."""

    @property
    @abstractmethod
    def caught_up(self) -> bool:
        """Whether the last read reached the end of the log."""

    @property
    @abstractmethod
    def earliest_retained_at(self) -> float | None:
        """Platform time since which no record has been missed.

        That is the time of the earliest retained record, rounded up
        to 5 s, or 0 if the log still has all its records.
        None before the first read and if all records have been trimmed.
        """

    @property
    @abstractmethod
    def retention_seconds(self) -> float | None:
        """How long the platform keeps records; None before the first read."""

    @property
    @abstractmethod
    def is_reader(self) -> bool:
        """Whether this VM is one of the log readers of its data centre."""

    @abstractmethod
    def readers(self) -> tuple[VmId, ...]:
        """The log readers of the data centre of this VM, first one first."""
