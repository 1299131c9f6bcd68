"""HTTP service of the application stand-in."""

import hashlib
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from pollenloom_standins.application.application_response import (
    ApplicationResponse,
)
from pollenloom_standins.application.order_list import (
    OrderList,
    OrderReport,
    OrderRunRecord,
)
from pollenloom_standins.backend.backend_service import BackendService
from pollenloom_standins.serving.json_responses import json_response

if TYPE_CHECKING:
    from pollenloom.kernel.clock import Clock
    from pollenloom_standins.backend.backend_settings import BackendSettings
    from pollenloom_standins.backend.call import Call


class ApplicationService(BackendService):
    """Echoes requests to any path; a POST is an order."""

    def __init__(
        self,
        clock: 'Clock',
        settings: 'BackendSettings',
        service_seconds: float,
        deduplicates: bool,
    ) -> None:
        super().__init__(clock, settings)
        self.service_seconds = service_seconds
        self.orders = OrderList(deduplicates)
        self.previous: ApplicationResponse | None = None

    def routes(self) -> list[web.RouteDef]:
        """Return the list of orders and a route for all other paths."""
        return [
            web.get('/control/orders', self.report_orders),
            web.route('*', '/{path:.*}', self.handle),
        ]

    async def respond(self, call: 'Call') -> web.StreamResponse:
        """Run a request and echo it."""
        body = self.run_order(call)
        await self.simulate_step(call, self.service_seconds)
        await self.delay_response(call)
        return await self.send_complete(call, body)

    def run_order(self, call: 'Call') -> bytes:
        """Record the request if it is an order; return the response's body.

        An order is recorded before its service time, so that it counts as run
        even if the caller disconnects.
        """
        response = self.echo(call)
        key = call.request.headers.get('Idempotency-Key', '')
        recorded = self.orders.recorded_response(key)
        if recorded is not None:
            return recorded
        body = msgspec.json.encode(response)
        if call.request.method == 'POST':
            self.orders.add(self.record_order(call, key), body)
        return self.encode_response(call, response)

    def echo(self, call: 'Call') -> ApplicationResponse:
        """Return the correct response to a request."""
        return ApplicationResponse(
            request_id=call.request_id,
            method=call.request.method,
            path=call.request.path_qs,
            body=call.body.decode(errors='replace'),
            run=len(self.history.records),
            version=self.settings.version,
        )

    def encode_response(
        self,
        call: 'Call',
        response: ApplicationResponse,
    ) -> bytes:
        """Return the body to send: the previous response if crossed."""
        previous = self.previous
        self.previous = response
        if call.plan.crossed:
            other = previous or msgspec.structs.replace(
                response,
                request_id='crossed',
            )
            call.crossed_id = other.request_id
            return msgspec.json.encode(other)
        return msgspec.json.encode(response)

    def record_order(self, call: 'Call', key: str) -> OrderRunRecord:
        """Return the record of an order that runs now."""
        return OrderRunRecord(
            key=key,
            body_hash=hashlib.sha256(call.body).hexdigest(),
            request_id=call.request_id,
            path=call.request.path,
            at=self.clock.wall(),
        )

    async def report_orders(self, _request: web.Request) -> web.Response:
        """Return all orders that ran."""
        return json_response(OrderReport(tuple(self.orders.orders)))
