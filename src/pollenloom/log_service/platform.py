"""Interface to the platform."""

from abc import abstractmethod
from typing import ClassVar

from expression import Result

from pollenloom.core.failure import Failure
from pollenloom.core.ids import Offset
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.log_service.log_page import LogPage
from pollenloom.log_service.vm_entry import VmList


class Platform(KernelService):
    """Client of the platform's append-only log and VM list."""

    name: ClassVar[KernelServiceName] = KernelServiceName.PLATFORM

    @abstractmethod
    async def append(self, payload: bytes) -> Result[Offset, Failure]:
        """Append one record.

        Errors:
            PLATFORM_UNAVAILABLE: The append had no effect.
            PLATFORM_UNKNOWN: The append may have taken effect.
        """

    @abstractmethod
    async def read(
        self,
        start: Offset,
        limit: int,
    ) -> Result[LogPage, Failure]:
        """Read at most `limit` records, starting at offset `start`.

        If `start` has been trimmed, starts at the earliest retained offset.

        Errors:
            PLATFORM_UNAVAILABLE
        """

    @abstractmethod
    async def list_vms(self) -> Result[VmList, Failure]:
        """Return the list of VMs, which may be out of date.

        Errors:
            PLATFORM_UNAVAILABLE
        """
