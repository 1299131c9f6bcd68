"""Load report, cancellation and control of a backend server stand-in."""

from typing import TYPE_CHECKING, ClassVar

from aiohttp import web

from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom_standins.backend.backend_faults import BackendFaults
from pollenloom_standins.backend.backend_reports import (
    CancelReport,
    HistoryReport,
    StateReport,
)
from pollenloom_standins.backend.backend_service import BackendService
from pollenloom_standins.serving.json_responses import (
    json_response,
    read_changes,
)
from pollenloom_standins.serving.route_source import RouteSource

if TYPE_CHECKING:
    from pollenloom.kernel.kernel import Kernel


class BackendControl(RouteSource):
    """Serves the calls that report on or control a backend server."""

    name: ClassVar[KernelServiceName] = KernelServiceName.STANDIN_CONTROL

    def __init__(self, kernel: 'Kernel') -> None:
        self.kernel = kernel

    @property
    def backend(self) -> BackendService:
        """The controlled service."""
        return self.kernel.find(
            KernelServiceName.STANDIN_BACKEND,
            BackendService,
        )

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that all backend servers have."""
        return [
            web.get('/load', self.report_load),
            web.post('/cancel/{request_id}', self.cancel),
            web.get('/control/faults', self.report_faults),
            web.put('/control/faults', self.change_faults),
            web.get('/control/history', self.report_history),
            web.get('/control/state', self.report_state),
        ]

    async def report_load(self, _request: web.Request) -> web.Response:
        """Return the load as of `load_lag_seconds` ago."""
        backend = self.backend
        await backend.switches.unfrozen.wait()
        report = backend.meter.report(
            self.kernel.clock.monotonic(),
            self.kernel.clock.wall(),
            backend.switches.faults.load_lag_seconds,
        )
        return json_response(report)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel all runs of a request id."""
        backend = self.backend
        await backend.switches.unfrozen.wait()
        tasks = backend.history.tasks_of(request.match_info['request_id'])
        cancelled = sum(task.cancel() for task in tasks)
        return json_response(CancelReport(cancelled))

    async def report_faults(self, _request: web.Request) -> web.Response:
        """Return the faults in force."""
        return json_response(self.backend.switches.faults)

    async def change_faults(self, request: web.Request) -> web.Response:
        """Change the faults that are fields of the body."""
        backend = self.backend
        faults = await read_changes(request, backend.switches.faults)
        now = self.kernel.clock.monotonic()
        validate_cold_start(faults)
        backend.capacity.cold_seconds = faults.cold_seconds
        if faults.turn_cold:
            backend.capacity.turn_cold(now)
        backend.switches.put(faults)
        backend.meter.leaving = faults.leaving
        backend.meter.record_load(now)
        return json_response(backend.switches.faults)

    async def report_history(self, request: web.Request) -> web.Response:
        """Return all runs, or those of the request id in the query."""
        request_id = request.query.get('request_id')
        runs = tuple(
            record
            for record in self.backend.history.records
            if request_id in {None, record.request_id}
        )
        return json_response(HistoryReport(runs))

    async def report_state(self, _request: web.Request) -> web.Response:
        """Return the present load and the counters."""
        backend = self.backend
        clock = self.kernel.clock
        return json_response(
            StateReport(
                load=backend.meter.report(clock.monotonic(), clock.wall(), 0),
                runs=len(backend.history.records),
                peak_running=backend.capacity.peak_running,
                peak_running_cold=backend.capacity.peak_running_cold,
                cold_overloads=backend.capacity.cold_overloads,
                refusals=dict(backend.refusals),
            ),
        )


def validate_cold_start(faults: BackendFaults) -> None:
    """Reject a cold start without a duration.

    Raises:
        web.HTTPBadRequest: If `turn_cold` is set and `cold_seconds` is not.
    """
    if faults.turn_cold and faults.cold_seconds <= 0:
        raise web.HTTPBadRequest(text='turn_cold needs cold_seconds above 0\n')
