"""Interface of the service that competes for duties."""

from abc import abstractmethod
from typing import TYPE_CHECKING, ClassVar

from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId
    from pollenloom.duties.duty import Duty
    from pollenloom.duties.duty_proof import DutyProof


class DutyKeeper(KernelService):
    """Knows which duties this router holds, and who holds the others."""

    name: ClassVar = KernelServiceName.DUTIES

    @abstractmethod
    def proof(self, duty: 'Duty', now: float) -> 'DutyProof | None':
        """Return a proof for a call that begins now; None if not the holder.

        Args:
            duty: The duty of the call.
            now: Monotonic time in seconds.
        """

    @abstractmethod
    def holder(self, duty: 'Duty') -> 'VmId | None':
        """Return the router that was last heard to hold the duty."""
