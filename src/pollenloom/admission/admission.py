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


class Admission(KernelService):
    """Decides which waiting request is sent where, and when."""

    name: ClassVar[KernelServiceName] = KernelServiceName.ADMISSION

    @abstractmethod
    async def acquire(self, ticket: Ticket) -> Result[Grant, Failure]:
        """Wait for a grant.

        Cancelling the call withdraws the request. Each grant must be given
        back by `settle` exactly once.

        Errors:
            QUEUE_FULL, DEADLINE_UNREACHABLE, DEADLINE_EXCEEDED, NO_CAPACITY,
            SHUTTING_DOWN; none of them ran the request.
        """

    @abstractmethod
    def settle(self, settlement: Settlement) -> None:
        """Report the use of a grant and correct its charge."""

    def limit_versions(self, shares: VersionShares) -> None:
        """Keep versions to their shares of the grants.

        Policies without pool owners do not limit versions.
        """

    def observe_epoch(self, server: ServerId, epoch: int) -> None:
        """Note a fencing number that a server reported or refused by.

        A pool owner that uses a lower one takes the pool over again.
        """

    def observe_first_byte(self, grant: Grant, seconds: float) -> None:
        """Note that the first byte came `seconds` after the sending.

        Policies that only look at whole answers do nothing.
        """

    @abstractmethod
    def status(self, now: float) -> AdmissionStatus:
        """Queues, pools and shares as this router knows them."""
