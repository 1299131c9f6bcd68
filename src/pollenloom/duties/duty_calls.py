"""Interface of the platform's calls that only the holder of a duty makes."""

from abc import abstractmethod
from typing import TYPE_CHECKING, ClassVar

from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName

if TYPE_CHECKING:
    from expression import Result

    from pollenloom.core.failure import Failure
    from pollenloom.duties.duty_proof import DutyProof
    from pollenloom.scaling.server_order import ServerOrder
    from pollenloom.usage.usage_report import UsageReport


class DutyCalls(KernelService):
    """Calls to the platform under the proof of a duty.

    A call fails with `PLATFORM_UNAVAILABLE` if nothing was done, and with
    `PLATFORM_UNKNOWN` if it may have taken effect. No call outlasts its proof.
    """

    name: ClassVar = KernelServiceName.DUTY_CALLS

    @abstractmethod
    async def report_usage(
        self,
        proof: 'DutyProof',
        report: 'UsageReport',
    ) -> 'Result[None, Failure]':
        """Report the requests that began in one window."""

    @abstractmethod
    async def order_servers(
        self,
        proof: 'DutyProof',
        order: 'ServerOrder',
    ) -> 'Result[None, Failure]':
        """Order the number of servers of a service in a data centre."""
