"""Interface of the admission policies."""

from abc import abstractmethod
from typing import ClassVar

from expression import Result

from pollenloom.admission.admission_status import AdmissionStatus
from pollenloom.admission.grant import Grant
from pollenloom.admission.settlement import Settlement
from pollenloom.admission.ticket import Ticket
from pollenloom.admission.version_shares import VersionShares
from pollenloom.core.failure import Failure
from pollenloom.core.ids import ServerId
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.server_notice import ServerNotice


class Admission(KernelService):
    """Decides when and to which backend server each request is sent."""

    name: ClassVar[KernelServiceName] = KernelServiceName.ADMISSION

    @abstractmethod
    async def acquire(self, ticket: Ticket) -> Result[Grant, Failure]:
        """Wait for a grant.

        Cancelling the call withdraws the request. Each grant must be released
        by `settle` exactly once.

        Errors:
            QUEUE_FULL, DEADLINE_UNREACHABLE, DEADLINE_EXCEEDED, NO_CAPACITY,
            SHUTTING_DOWN; the request was not sent in any of these cases.
        """

    @abstractmethod
    def settle(self, settlement: Settlement) -> None:
        """Release a grant, report its use and correct its charge."""

    def limit_versions(self, shares: VersionShares) -> None:
        """Limit versions to their shares of the grants.

        Policies without pool owners do not limit versions.
        """

    def observe_epoch(self, server: ServerId, epoch: int) -> None:
        """Record a fencing number that a server reported, also in a refusal.

        A pool owner that uses a lower one takes the pool over again.
        """

    def observe_first_byte(self, grant: Grant, seconds: float) -> None:
        """Record that the first byte came `seconds` after sending.

        Policies that only evaluate complete responses do nothing.
        """

    def observe_notice(self, grant: Grant, notice: ServerNotice) -> None:
        """Record what a server stated of itself in its response.

        Policies of services whose servers state nothing do nothing.
        """

    @abstractmethod
    def status(self, now: float) -> AdmissionStatus:
        """Return queues, pools and shares as known to this router."""
