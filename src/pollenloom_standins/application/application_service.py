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
from pollenloom_standins.serving.json_answers import json_answer

if TYPE_CHECKING:
    from pollenloom.kernel.clock import Clock
    from pollenloom_standins.backend.backend_settings import BackendSettings
    from pollenloom_standins.backend.call import Call


class ApplicationService(BackendService):
    """Echoes requests of any path; a POST is an order."""

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

    async def answer(self, call: 'Call') -> web.StreamResponse:
        """Run a request once and echo it."""
        body = self.run_order(call)
        await self.spend(call, self.service_seconds)
        await self.wait_late(call)
        return await self.send_whole(call, body)

    def run_order(self, call: 'Call') -> bytes:
        """List an order; return the answer.

        An order takes effect before its service time, so that one whose
        caller disconnects counts as run.
        """
        own = self.echo(call)
        key = call.request.headers.get('Idempotency-Key', '')
        recorded = self.orders.recorded_answer(key)
        if recorded is not None:
            return recorded
        body = msgspec.json.encode(own)
        if call.request.method == 'POST':
            self.orders.add(self.record_order(call, key), body)
        return self.cross(call, own)

    def echo(self, call: 'Call') -> ApplicationResponse:
        """Return the right answer to a request."""
        return ApplicationResponse(
            request_id=call.request_id,
            method=call.request.method,
            path=call.request.path_qs,
            body=call.body.decode(errors='replace'),
            run=len(self.history.records),
            version=self.settings.version,
        )

    def cross(self, call: 'Call', own: ApplicationResponse) -> bytes:
        """Return the answer to send: its own, or the one before if crossed."""
        previous = self.previous
        self.previous = own
        if call.plan.crossed:
            other = previous or msgspec.structs.replace(
                own,
                request_id='crossed',
            )
            call.crossed_id = other.request_id
            return msgspec.json.encode(other)
        return msgspec.json.encode(own)

    def record_order(self, call: 'Call', key: str) -> OrderRunRecord:
        """Return the record of an order."""
        return OrderRunRecord(
            key=key,
            body_hash=hashlib.sha256(call.body).hexdigest(),
            request_id=call.request_id,
            path=call.request.path,
            at=self.clock.wall(),
        )

    async def report_orders(self, _request: web.Request) -> web.Response:
        """Return all orders that ran."""
        return json_answer(OrderReport(tuple(self.orders.orders)))
