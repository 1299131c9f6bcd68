"""Addresses of peers."""

from typing import TYPE_CHECKING

from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.membership import Membership

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.kernel.kernel import Kernel


class AddressBook:
    """Looks addresses up in the membership."""

    def __init__(self, kernel: 'Kernel') -> None:
        self.kernel = kernel

    @property
    def membership(self) -> Membership:
        """The membership service, which starts after the network."""
        return self.kernel.find(
            KernelServiceName.MEMBERSHIP,
            # The kernel only checks the type and makes no instance.
            Membership,
        )

    def lookup(self, vm: 'VmId') -> str | None:
        """Address of a member that is not dead."""
        for member in self.membership.members():
            if member.vm == vm:
                return member.peer_address
        return None
