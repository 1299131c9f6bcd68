"""Interface of the service that runs calls at most once."""

from abc import abstractmethod
from typing import ClassVar

from expression import Result

from pollenloom.core.caller_request import CallerRequest
from pollenloom.core.failure import Failure
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.orders.order_response import OrderResponse


class OrderService(KernelService):
    """Runs calls that may not be repeated, each at most once."""

    name: ClassVar[KernelServiceName] = KernelServiceName.ORDERS

    @abstractmethod
    async def execute(
        self,
        request: CallerRequest,
    ) -> Result[OrderResponse, Failure]:
        """Run the call at most once for its idempotency key.

        Errors:
            IDEMPOTENCY_KEY_REQUIRED, IDEMPOTENCY_KEY_INVALID,
            IDEMPOTENCY_KEY_EXPIRED, IDEMPOTENCY_KEY_REUSED,
            ORDER_IN_PROGRESS, ORDER_OUTCOME_UNKNOWN, ORDERS_UNAVAILABLE and
            the errors of `Dispatch.call`.
        """
