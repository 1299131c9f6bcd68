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
from pollenloom_standins.backend.capacity_model import (
    AdmissionDecision,
    CapacityModel,
)
from pollenloom_standins.backend.fault_switches import FaultSwitches
from pollenloom_standins.backend.fencing import FencingCheck
from pollenloom_standins.backend.load_meter import LoadMeter
from pollenloom_standins.backend.refusals import (
    RefusalReason,
    failure_response,
    refusal_response,
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
from pollenloom_standins.serving.json_responses import read_header_number
from pollenloom_standins.serving.route_source import RouteSource

if TYPE_CHECKING:
    from pollenloom.kernel.clock import Clock
    from pollenloom_standins.backend.backend_settings import BackendSettings

JSON_TYPE: Final = 'application/json'


class BackendService(RouteSource):
    """Admits, runs and records requests; subclasses produce the responses."""

    name: ClassVar[KernelServiceName] = KernelServiceName.STANDIN_BACKEND

    def __init__(self, clock: 'Clock', settings: 'BackendSettings') -> None:
        self.clock = clock
        self.settings = settings
        self.capacity = CapacityModel(settings.limits, clock.monotonic())
        self.fencing = FencingCheck(settings.fencing)
        self.version_behaviour = VersionBehaviour(
            settings.version_faults, settings.seed
        )
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
    async def respond(self, call: Call) -> web.StreamResponse:
        """Run a request and send its response."""

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Refuse, fail or run a request."""
        body = await request.read()
        await self.switches.unfrozen.wait()
        number = read_header_number(request, 'X-Fencing-Number')
        reason = self.refusal_reason(number)
        if reason is not None:
            self.refusals[reason] += 1
            return refusal_response(reason)
        decision = self.capacity.decide(self.clock.monotonic())
        if decision is AdmissionDecision.FULL:
            self.refusals[RefusalReason.FULL] += 1
            return refusal_response(RefusalReason.FULL)
        if decision is AdmissionDecision.COLD:
            self.refusals[RefusalReason.COLD] += 1
            return refusal_response(RefusalReason.COLD)
        plan = self.switches.next_plan()
        if plan.fails or decision is AdmissionDecision.FAIL:
            return failure_response('the server failed')
        return await self.run(
            Call(
                request=request,
                body=body,
                record=self.begin(request, number),
                plan=plan,
                version_fault=self.version_behaviour.next_fault(
                    request.path,
                    self.capacity.running,
                ),
            ),
        )

    async def run(self, call: Call) -> web.StreamResponse:
        """Run a call and record its outcome."""
        self.history.add_task(call.request_id, asyncio.current_task())
        outcome = RunOutcome.FAILED
        try:
            response = await self.respond_or_fail(call)
            if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                outcome = RunOutcome.SERVED
        except (asyncio.CancelledError, ConnectionError):
            outcome = RunOutcome.CANCELLED
            raise
        finally:
            self.end(call, outcome)
        return response

    async def respond_or_fail(self, call: Call) -> web.StreamResponse:
        """Run a call, or fail it if its version fault says so."""
        if call.version_fault is BadKind.FAIL:
            return failure_response(f'fault of version {self.settings.version}')
        return await self.respond(call)

    def begin(self, request: web.Request, number: int) -> RunRecord:
        """Count a run that starts and return its record."""
        now = self.clock.monotonic()
        self.capacity.begin(now)
        self.meter.record_load(now)
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
        """Count a run that ended and complete its record."""
        self.capacity.end()
        self.meter.record_load(self.clock.monotonic())
        call.record.end(outcome, self.clock.wall())
        self.history.remove_task(call.request_id, asyncio.current_task())

    def refusal_reason(self, number: int) -> RefusalReason | None:
        """Return why a request is refused at any load, None if it is not."""
        if self.switches.faults.leaving:
            return RefusalReason.LEAVING
        if not self.fencing.accepts(number):
            return RefusalReason.FENCED
        return None

    async def simulate_step(self, call: Call, seconds: float) -> None:
        """Wait for the duration of a step, scaled by the present load.

        Args:
            call: Call that takes the step.
            seconds: Duration at zero load.
        """
        slowdown = self.capacity.slowdown(self.clock.monotonic())
        if call.version_fault is BadKind.SLOW:
            slowdown *= self.settings.version_faults.slow_factor
        await asyncio.sleep(seconds * slowdown)
        await self.switches.unfrozen.wait()

    async def delay_response(self, call: Call) -> None:
        """Wait if a fault makes the response late."""
        if call.plan.late_seconds:
            await asyncio.sleep(call.plan.late_seconds)

    async def send_complete(
        self, call: Call, body: bytes
    ) -> web.StreamResponse:
        """Send a JSON response, or only its first half if it is to be cut."""
        if call.plan.aborted:
            await self.abort(call)
        if not call.plan.cut:
            return web.Response(
                body=body,
                content_type=JSON_TYPE,
                headers=call.response_headers,
            )
        response = web.StreamResponse(headers=call.response_headers)
        response.content_type = JSON_TYPE
        response.content_length = len(body)
        await response.prepare(call.request)
        await response.write(body[: len(body) // 2])
        await self.abort(call)
        return response

    async def abort(self, call: Call) -> None:
        """Abort the connection; the rest of the response is never sent.

        It does not return: the handler is cancelled.
        """
        call.record.outcome = RunOutcome.CUT
        transport = call.request.transport
        if transport is not None:
            transport.abort()
        # aiohttp cancels the handler when the connection is lost.
        await asyncio.Event().wait()
