"""Interface of the service that reads the platform's log."""

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
    """Reads the log in order and dispatches its records to other services.

    Only the log readers of a data centre poll the log. A VM that becomes
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

        `appended_at` is platform time, seconds since the Unix epoch. Subscribe
        before the kernel starts or in `start` of a service; records that were
        read before are not dispatched again.
        """

    @abstractmethod
    def watch_gaps(self, listener: Callable[[Offset], None]) -> None:
        """Call `listener(earliest)` when records were missed.

        Records below `earliest` were trimmed before this VM had read them,
        which includes its first read of a trimmed log. The next record that
        is dispatched is at `earliest` or above.
        """

    @abstractmethod
    async def read_until(self, offset: Offset) -> Result[Offset, Failure]:
        """Read until the record at `offset` has been dispatched.

        Works on any VM. Returns the offset to read next, which is above
        `offset`.

        Errors:
            PLATFORM_UNAVAILABLE: Also if the log ends before `offset`.
        """

    @property
    @abstractmethod
    def position(self) -> Offset:
        """Offset to read next; all records below it have been dispatched."""

    @property
    @abstractmethod
    def caught_up(self) -> bool:
        """Whether the last read reached the end of the log."""

    @property
    @abstractmethod
    def earliest_retained_at(self) -> float | None:
        """Platform time since which no record has been missed.

        This is the time of the earliest retained record, rounded up by at
        most 5 s, or 0 if no record was ever trimmed. None before the first
        read and if all records have been trimmed.
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
        """Log readers of this VM's data centre, in order of rank."""
