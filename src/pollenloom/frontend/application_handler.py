"""Handler of the routes of applications."""

import asyncio

from expression import Result
from sanic import Request
from sanic.response import HTTPResponse

from pollenloom.core.caller_request import CallerRequest
from pollenloom.core.failure import Failure
from pollenloom.frontend.answers import passed_answer
from pollenloom.frontend.call_handler import CallHandler
from pollenloom.frontend.drain_gate import DrainGate
from pollenloom.frontend.order_execution import OrderExecution
from pollenloom.frontend.raw_call import RawCall
from pollenloom.frontend.request_reader import (
    ReadRequest,
    read_application_call,
)
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.orders.order_response import OrderResponse
from pollenloom.orders.order_service import OrderService
from pollenloom.settings.router_settings import LimitSettings


class ApplicationHandler(CallHandler):
    """Serves calls to applications; orders take the way of at most once."""

    def __init__(
        self,
        kernel: Kernel,
        limits: LimitSettings,
        gate: DrainGate,
    ) -> None:
        super().__init__(kernel, limits)
        self.gate = gate

    async def handle(self, _request: Request, call: RawCall) -> HTTPResponse:
        """Serve a call on a route of an application."""
        read = read_application_call(call, self.context())
        if read.is_error():
            return self.refuse(read.error, call)
        if read.ok.request.repeatable:
            return await self.fetch(call, read.ok)
        return await self.order(call, read.ok)

    async def order(self, call: RawCall, read: ReadRequest) -> HTTPResponse:
        """Answer a call that may not be repeated."""
        ordered = await self.execute(read.request)
        if ordered.is_error():
            return self.refuse(ordered.error, call, read)
        answer = ordered.ok
        self.observe(call, read, None)
        own_headers = self.own_headers(call, read)
        if answer.replayed:
            own_headers['idempotent-replayed'] = 'true'
        return passed_answer(
            answer.status,
            answer.body,
            answer.headers,
            own_headers,
        )

    async def execute(
        self,
        request: CallerRequest,
    ) -> Result[OrderResponse, Failure]:
        """Run an order in a task that outlives the caller's connection."""
        orders = self.kernel.find(
            KernelServiceName.ORDERS,
            OrderService,
        )
        order = OrderExecution(orders, request, self.gate)
        task = self.kernel.spawn(f'order {request.request_id}', order.run())
        await asyncio.shield(task)
        return order.outcome
