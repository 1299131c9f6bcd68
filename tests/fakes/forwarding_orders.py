"""Order service that sends every order to dispatch."""

import asyncio

from expression import Error, Ok, Result

from pollenloom.core.caller_request import CallerRequest
from pollenloom.core.failure import Failure
from pollenloom.dispatch.dispatch import Dispatch
from pollenloom.orders.order_response import OrderResponse
from pollenloom.orders.order_service import OrderService


class ForwardingOrders(OrderService):
    """Runs orders without recording them.

    Attributes:
        ended: Set once an order has ended.
    """

    def __init__(self, dispatch: Dispatch) -> None:
        self.dispatch = dispatch
        self.ended = asyncio.Event()

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    async def execute(
        self,
        request: CallerRequest,
    ) -> Result[OrderResponse, Failure]:
        """Dispatch an order once; its response is marked as replayed."""
        dispatched = await self.dispatch.call(request)
        self.ended.set()
        if dispatched.is_error():
            return Error(dispatched.error)
        response = dispatched.ok
        return Ok(
            OrderResponse(
                status=response.status,
                headers=dict(response.headers),
                body=response.body,
                replayed=True,
            )
        )
