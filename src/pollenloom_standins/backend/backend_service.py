"""Base class of the stand-ins for backend servers."""

import asyncio
from abc import abstractmethod
from collections import Counter
from http import HTTPStatus
from typing import TYPE_CHECKING, ClassVar, Final

from aiohttp import web

from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom_standins.backend.backend_faults import BackendFaults
from pollenloom_standins.backend.call import Call
from pollenloom_standins.backend.capacity_model import CapacityModel, Verdict
from pollenloom_standins.backend.fault_switches import FaultSwitches
from pollenloom_standins.backend.fencing import FencingCheck
from pollenloom_standins.backend.load_meter import LoadMeter
from pollenloom_standins.backend.refusals import (
    RefusalReason,
    failed_answer,
    refusal_answer,
)
from pollenloom_standins.backend.run_history import (
    RunHistory,
    RunOutcome,
    RunRecord,
)
from pollenloom_standins.backend.version_behaviour import (
    BadKind,
    VersionBehaviour,
)
from pollenloom_standins.serving.http_listener import REQUEST_ID
from pollenloom_standins.serving.json_answers import read_header_number
from pollenloom_standins.serving.route_source import RouteSource

if TYPE_CHECKING:
    from pollenloom.kernel.clock import Clock
    from pollenloom_standins.backend.backend_settings import BackendSettings

JSON_TYPE: Final = 'application/json'


class BackendService(RouteSource):
    """Admits, runs and records requests; subclasses answer them."""

    name: ClassVar[KernelServiceName] = KernelServiceName.STANDIN_BACKEND

    def __init__(self, clock: 'Clock', settings: 'BackendSettings') -> None:
        self.clock = clock
        self.settings = settings
        self.capacity = CapacityModel(settings.limits, clock.monotonic())
        self.fencing = FencingCheck(settings.fencing)
        self.version = VersionBehaviour(settings.version_faults, settings.seed)
        self.switches = FaultSwitches(
            BackendFaults(
                load_lag_seconds=settings.load_lag_seconds,
                cold_seconds=settings.limits.cold_seconds,
            ),
        )
        self.meter = LoadMeter(settings, self.capacity, self.fencing)
        self.history = RunHistory()
        self.refusals: Counter[RefusalReason] = Counter()

    @abstractmethod
    async def answer(self, call: Call) -> web.StreamResponse:
        """Run a request and answer it."""

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Refuse a request or run it."""
        body = await request.read()
        await self.switches.thawed.wait()
        number = read_header_number(request, 'X-Fencing-Number')
        reason = self.refusal_reason(number)
        if reason is not None:
            self.refusals[reason] += 1
            return refusal_answer(reason)
        verdict = self.capacity.judge(self.clock.monotonic())
        if verdict is Verdict.FULL:
            self.refusals[RefusalReason.FULL] += 1
            return refusal_answer(RefusalReason.FULL)
        if verdict is Verdict.COLD:
            self.refusals[RefusalReason.COLD] += 1
            return refusal_answer(RefusalReason.COLD)
        plan = self.switches.take()
        if plan.fails or verdict is Verdict.FAIL:
            return failed_answer('the server failed')
        return await self.run(
            Call(
                request=request,
                body=body,
                record=self.begin(request, number),
                plan=plan,
                bad_kind=self.version.judge(
                    request.path,
                    self.capacity.running,
                ),
            ),
        )

    async def run(self, call: Call) -> web.StreamResponse:
        """Answer a call and record how it ended."""
        self.history.add_task(call.request_id, asyncio.current_task())
        outcome = RunOutcome.FAILED
        try:
            response = await self.answer_by_version(call)
            if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                outcome = RunOutcome.SERVED
        except (asyncio.CancelledError, ConnectionError):
            outcome = RunOutcome.CANCELLED
            raise
        finally:
            self.end(call, outcome)
        return response

    async def answer_by_version(self, call: Call) -> web.StreamResponse:
        """Answer a call, or fail it if the version does."""
        if call.bad_kind is BadKind.FAIL:
            return failed_answer(f'fault of version {self.settings.version}')
        return await self.answer(call)

    def begin(self, request: web.Request, number: int) -> RunRecord:
        """Count and record a run that starts."""
        now = self.clock.monotonic()
        self.capacity.begin(now)
        self.meter.note(now)
        record = RunRecord(
            request_id=request.headers.get(REQUEST_ID, ''),
            account=request.headers.get('X-Account', ''),
            path=request.path,
            fencing_number=number,
            started=self.clock.wall(),
            cold=self.capacity.is_cold(now),
            running=self.capacity.running,
        )
        self.history.records.append(record)
        return record

    def end(self, call: Call, outcome: RunOutcome) -> None:
        """Count and record a run that ended."""
        self.capacity.end()
        self.meter.note(self.clock.monotonic())
        call.record.end(outcome, self.clock.wall())
        self.history.forget_task(call.request_id, asyncio.current_task())

    def refusal_reason(self, number: int) -> RefusalReason | None:
        """Return why a request is refused whatever the load is."""
        if self.switches.faults.leaving:
            return RefusalReason.LEAVING
        if not self.fencing.accepts(number):
            return RefusalReason.FENCED
        return None

    async def spend(self, call: Call, seconds: float) -> None:
        """Let a step of a call take its time at the present load."""
        slowdown = self.capacity.slowdown(self.clock.monotonic())
        if call.bad_kind is BadKind.SLOW:
            slowdown *= self.settings.version_faults.slow_factor
        await asyncio.sleep(seconds * slowdown)
        await self.switches.thawed.wait()

    async def wait_late(self, call: Call) -> None:
        """Hold back an answer that a fault makes late."""
        if call.plan.late_seconds:
            await asyncio.sleep(call.plan.late_seconds)

    async def send_whole(self, call: Call, body: bytes) -> web.StreamResponse:
        """Send a JSON answer, or only its first half if a fault says so."""
        if call.plan.dies:
            await self.die(call)
        if not call.plan.cut:
            return web.Response(
                body=body,
                content_type=JSON_TYPE,
                headers=call.answer_headers,
            )
        response = web.StreamResponse(headers=call.answer_headers)
        response.content_type = JSON_TYPE
        response.content_length = len(body)
        await response.prepare(call.request)
        await response.write(body[: len(body) // 2])
        await self.die(call)
        return response

    async def die(self, call: Call) -> None:
        """Abort the connection; the answer's rest is never sent."""
        call.record.outcome = RunOutcome.CUT
        transport = call.request.transport
        if transport is not None:
            transport.abort()
        # The lost connection cancels the handler.
        await asyncio.Event().wait()
