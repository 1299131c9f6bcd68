"""Handler of application routes."""

import asyncio

from expression import Result
from sanic import Request
from sanic.response import HTTPResponse

from pollenloom.core.caller_request import CallerRequest
from pollenloom.core.failure import Failure
from pollenloom.frontend.call_handler import CallHandler
from pollenloom.frontend.drain_barrier import DrainBarrier
from pollenloom.frontend.order_execution import OrderExecution
from pollenloom.frontend.raw_call import RawCall
from pollenloom.frontend.request_reader import (
    ValidatedRequest,
    read_application_call,
)
from pollenloom.frontend.responses import backend_response
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.orders.order_response import OrderResponse
from pollenloom.orders.order_service import OrderService
from pollenloom.settings.router_settings import LimitSettings


class ApplicationHandler(CallHandler):
    """Serves calls to applications.

    Calls that may not be repeated (orders) run at most once.
    """

    def __init__(
        self,
        kernel: Kernel,
        limits: LimitSettings,
        drain_barrier: DrainBarrier,
    ) -> None:
        super().__init__(kernel, limits)
        self.drain_barrier = drain_barrier

    async def handle(self, _request: Request, call: RawCall) -> HTTPResponse:
        """Serve a call on a route of an application."""
        validated = read_application_call(call, self.context())
        if validated.is_error():
            return self.error_response(validated.error, call)
        if validated.ok.request.repeatable:
            return await self.forward(call, validated.ok)
        return await self.serve_order(call, validated.ok)

    async def serve_order(
        self, call: RawCall, validated: ValidatedRequest
    ) -> HTTPResponse:
        """Serve a call that may not be repeated."""
        result = await self.execute_order(validated.request)
        if result.is_error():
            return self.error_response(result.error, call, validated)
        response = result.ok
        self.observe_response(call, validated, None)
        router_headers = self.router_headers(call, validated)
        if response.replayed:
            router_headers['idempotent-replayed'] = 'true'
        return backend_response(
            response.status,
            response.body,
            response.headers,
            router_headers,
        )

    async def execute_order(
        self,
        request: CallerRequest,
    ) -> Result[OrderResponse, Failure]:
        """Run an order in a task that outlives the caller's connection."""
        orders = self.kernel.find(
            KernelServiceName.ORDERS,
            OrderService,
        )
        order = OrderExecution(orders, request, self.drain_barrier)
        task = self.kernel.spawn(f'order {request.request_id}', order.run())
        await asyncio.shield(task)
        return order.outcome
