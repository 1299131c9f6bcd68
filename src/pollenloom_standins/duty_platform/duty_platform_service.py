"""HTTP service of the platform's calls that one router makes at a time."""

import asyncio
import time
from http import HTTPStatus
from typing import ClassVar, Final

import msgspec
from aiohttp import web

from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.platform import wire_names
from pollenloom_standins.duty_platform.duty_checker import (
    DutyCall,
    DutyChecker,
)
from pollenloom_standins.serving.json_responses import (
    read_header_number,
    read_json,
)
from pollenloom_standins.serving.route_source import RouteSource

DEFAULT_RATE: Final = 50
RATE_SECONDS: Final = 1.0


class UsageBody(msgspec.Struct, frozen=True):
    """Body of a usage report."""

    window_id: int
    counts: dict[str, int]


class ScaleBody(msgspec.Struct, frozen=True):
    """Body of an order of servers."""

    service: str
    zone: str
    desired: int


class DutyPlatformService(RouteSource):
    """Accepts usage reports and orders, and checks who makes them.

    Attributes:
        checker: Checks the calls that are accepted.
        calls_per_second: Calls that are accepted from all routers together.
        is_down: Whether calls are rejected with 503.
        delay_seconds: Time until a call is handled.
        loses_answers: Whether accepted calls get no response.
        accepted_at: Times of the calls accepted within the last second.
        reported_at: Wall time of the first accepted report, by window.
        orders: Ordered number of servers by service and data centre.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.STANDIN_CONTROL

    def __init__(self, lease_seconds: float) -> None:
        self.checker = DutyChecker(lease_seconds)
        self.calls_per_second = DEFAULT_RATE
        self.is_down = False
        self.delay_seconds: float = 0
        self.loses_answers = False
        self.accepted_at: list[float] = []
        self.reported_at: dict[int, float] = {}
        self.orders: dict[tuple[str, str], int] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the calls."""
        return [
            web.post('/usage', self.report_usage),
            web.post('/scale', self.order_servers),
        ]

    async def report_usage(self, request: web.Request) -> web.Response:
        """Accept a usage report."""
        body = await read_json(request, UsageBody)
        call = await self.accept(request)
        self.checker.report(call, body.window_id, body.counts)
        self.reported_at.setdefault(body.window_id, time.time())
        return self.respond(request)

    async def order_servers(self, request: web.Request) -> web.Response:
        """Accept an order of servers."""
        body = await read_json(request, ScaleBody)
        call = await self.accept(request)
        self.checker.check(call, f'{body.service}/{body.zone}')
        self.orders[body.service, body.zone] = body.desired
        return self.respond(request)

    async def accept(self, request: web.Request) -> DutyCall:
        """Return a call unless the platform is down or has too many.

        Raises:
            web.HTTPServiceUnavailable: If it is down.
            web.HTTPTooManyRequests: If there are too many.
        """
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        if self.is_down:
            raise web.HTTPServiceUnavailable
        now = time.monotonic()
        self.accepted_at = [
            at for at in self.accepted_at if now - at < RATE_SECONDS
        ]
        if len(self.accepted_at) >= self.calls_per_second:
            raise web.HTTPTooManyRequests(headers={'Retry-After': '0.2'})
        self.accepted_at.append(now)
        return DutyCall(
            request.headers.get(wire_names.DUTY_HOLDER, ''),
            read_header_number(request, wire_names.FENCING_TOKEN),
            now,
        )

    def respond(self, request: web.Request) -> web.Response:
        """Respond to an accepted call, or cut its connection."""
        if self.loses_answers and request.transport is not None:
            request.transport.abort()
        return web.Response(status=HTTPStatus.OK)
