"""Interface of the membership service."""

from abc import abstractmethod
from collections.abc import Callable, Iterable
from typing import ClassVar

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.log_service.vm_entry import VmEntry
from pollenloom.membership.member import Member


class Membership(KernelService):
    """Knows which routers are members of the fleet."""

    name: ClassVar[KernelServiceName] = KernelServiceName.MEMBERSHIP

    @property
    @abstractmethod
    def local_member(self) -> Member:
        """Entry of this VM."""

    @abstractmethod
    def members(self) -> tuple[Member, ...]:
        """All known members that are not dead, sorted by VM id."""

    @abstractmethod
    def live(self, data_centre: DataCentreId | None = None) -> tuple[VmId, ...]:
        """Ids of live VMs, of one data centre or of all, sorted."""

    @abstractmethod
    def ranked(
        self,
        key: str,
        data_centre: DataCentreId | None = None,
    ) -> tuple[VmId, ...]:
        """Live VMs by rendezvous hash of `key`; the first one owns it.

        If the data centre has no live VM, all live VMs are ranked. If the
        fleet has none, the leaving ones are.
        """

    def add_addresses(self, entries: Iterable[VmEntry]) -> None:
        """Use the live routers of the platform's VM list to find the fleet.

        Does nothing by default.
        """

    @abstractmethod
    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the set of live VMs."""
