"""Order service that hands every order to dispatch."""

import asyncio

from expression import Error, Ok, Result

from pollenloom.core.caller_request import CallerRequest
from pollenloom.core.failure import Failure
from pollenloom.dispatch.dispatch import Dispatch
from pollenloom.orders.order_response import OrderResponse
from pollenloom.orders.order_service import OrderService


class PassingOrders(OrderService):
    """Runs orders without a record; tells when one has ended."""

    def __init__(self, dispatch: Dispatch) -> None:
        self.dispatch = dispatch
        self.ended = asyncio.Event()

    async def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""

    async def execute(
        self,
        request: CallerRequest,
    ) -> Result[OrderResponse, Failure]:
        """Send an order once."""
        answered = await self.dispatch.call(request)
        self.ended.set()
        if answered.is_error():
            return Error(answered.error)
        answer = answered.ok
        return Ok(
            OrderResponse(
                status=answer.status,
                headers=dict(answer.headers),
                body=answer.body,
                replayed=True,
            )
        )
