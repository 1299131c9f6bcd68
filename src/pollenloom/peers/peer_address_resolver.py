"""Lookup of peer addresses."""

from typing import TYPE_CHECKING

from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.membership import Membership

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.kernel.kernel import Kernel


class PeerAddressResolver:
    """Resolves VM ids to peer addresses by the membership."""

    def __init__(self, kernel: 'Kernel') -> None:
        self.kernel = kernel

    @property
    def membership(self) -> Membership:
        """Membership service, found on use as it starts after the network."""
        return self.kernel.find(
            KernelServiceName.MEMBERSHIP,
            # The kernel checks the type only and creates no instance.
            Membership,
        )

    def resolve(self, vm: 'VmId') -> str | None:
        """Return the peer address of a VM; None if it is unknown or dead."""
        for member in self.membership.members():
            if member.vm == vm:
                return member.peer_address
        return None
