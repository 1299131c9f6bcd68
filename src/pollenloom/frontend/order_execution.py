"""Execution of an order, independent of the caller's connection."""

from typing import TYPE_CHECKING

from expression import Error, Result

from pollenloom.core.caller_request import CallerRequest
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.frontend.drain_barrier import DrainBarrier
from pollenloom.orders.order_service import OrderService

if TYPE_CHECKING:
    from pollenloom.orders.order_response import OrderResponse


class OrderExecution:
    """Runs an order to its end even if the caller disconnects.

    Otherwise an order that the application runs would have no recorded
    outcome, and a repeated call could only be answered with "unknown".
    """

    def __init__(
        self,
        orders: OrderService,
        request: CallerRequest,
        drain_barrier: DrainBarrier,
    ) -> None:
        self.orders = orders
        self.request = request
        self.drain_barrier = drain_barrier
        self.outcome: Result[OrderResponse, Failure] = Error(
            Failure(
                ErrorKind.ORDER_OUTCOME_UNKNOWN,
                'the order was stopped before its outcome was known',
            )
        )

    async def run(self) -> None:
        """Execute the order and set `outcome`; a drain waits for it."""
        with self.drain_barrier:
            self.outcome = await self.orders.execute(self.request)
