"""Interface to the platform's services."""

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
    """The append-only log and the VM list."""

    name: ClassVar[KernelServiceName] = KernelServiceName.PLATFORM

    @abstractmethod
    async def append(self, payload: bytes) -> Result[Offset, Failure]:
        """Append one record.

        Errors:
            PLATFORM_UNAVAILABLE: It did not take effect.
            PLATFORM_UNKNOWN: It may have taken effect.
        """

    @abstractmethod
    async def read(
        self,
        start: Offset,
        limit: int,
    ) -> Result[LogPage, Failure]:
        """Read at most `limit` records from offset `start` on.

        A start below the earliest retained offset reads from the earliest.

        Errors:
            PLATFORM_UNAVAILABLE
        """

    @abstractmethod
    async def list_vms(self) -> Result[VmList, Failure]:
        """Return the list of VMs, which may lag.

        Errors:
            PLATFORM_UNAVAILABLE
        """
