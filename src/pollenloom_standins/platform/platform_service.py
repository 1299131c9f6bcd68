"""HTTP service of the platform stand-in."""

import asyncio
from typing import TYPE_CHECKING, ClassVar, Final

import msgspec
from aiohttp import web

from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.log_service.vm_entry import VmEntry, VmList
from pollenloom_standins.fault_sampler import FaultSampler, decrement_count
from pollenloom_standins.lagged_value import LaggedValue
from pollenloom_standins.platform.platform_faults import PlatformFaults
from pollenloom_standins.platform.rate_limit import RateLimit
from pollenloom_standins.platform.record_log import RecordLog
from pollenloom_standins.serving.json_responses import (
    json_response,
    read_changes,
    read_json,
    read_query_number,
)
from pollenloom_standins.serving.route_source import RouteSource

if TYPE_CHECKING:
    from pollenloom.kernel.clock import Clock

MAXIMUM_PAGE_RECORDS: Final = 10_000
# The largest lag of the VM list that can be simulated.
LIST_RETENTION_SECONDS: Final = 3600


class PlatformService(RouteSource):
    """Serves the log and the VM list and injects faults."""

    name: ClassVar[KernelServiceName] = KernelServiceName.STANDIN_PLATFORM

    def __init__(
        self,
        clock: 'Clock',
        log: RecordLog,
        rate_limit: RateLimit,
        faults: PlatformFaults,
        seed: int = 1,
    ) -> None:
        self.clock = clock
        self.log = log
        self.rate_limit = rate_limit
        self.faults = faults
        self.sampler = FaultSampler(seed)
        self.vms: LaggedValue[tuple[VmEntry, ...]] = LaggedValue(
            (),
            LIST_RETENTION_SECONDS,
        )

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the platform and of its control calls."""
        return [
            web.post('/log', self.append),
            web.get('/log', self.read),
            web.get('/vms', self.list_vms),
            web.put('/control/vms', self.put_vms),
            web.put('/control/vms/{vm}', self.put_vm),
            web.delete('/control/vms/{vm}', self.delete_vm),
            web.get('/control/faults', self.report_faults),
            web.put('/control/faults', self.change_faults),
        ]

    async def append(self, request: web.Request) -> web.Response:
        """Append the body as a record, unless a fault or the limit applies."""
        payload = await request.read()
        await self.apply_faults(request)
        now = self.clock.monotonic()
        if not self.rate_limit.try_acquire(now):
            raise web.HTTPTooManyRequests(headers={'Retry-After': '1'})
        if self.loses_append():
            await wait_for_disconnect()
        offset = self.log.append(payload, self.clock.wall())
        if self.loses_response():
            await wait_for_disconnect()
        return json_response({'offset': offset})

    async def read(self, request: web.Request) -> web.Response:
        """Return a page of the log, by default of at most 1000 records."""
        await self.apply_faults(request)
        start = read_query_number(request, 'from', 0)
        limit = min(
            read_query_number(request, 'limit', 1000), MAXIMUM_PAGE_RECORDS
        )
        return json_response(self.log.read(start, limit, self.clock.wall()))

    async def list_vms(self, request: web.Request) -> web.Response:
        """Return the list of VMs as of `list_lag_seconds` ago."""
        await self.apply_faults(request)
        lag = self.faults.list_lag_seconds
        vms = self.vms.with_lag(self.clock.monotonic(), lag)
        return json_response(VmList(as_of=self.clock.wall() - lag, vms=vms))

    async def put_vms(self, request: web.Request) -> web.Response:
        """Replace the whole list; the body is `{"vms": [...]}`."""
        return self.change_vms((await read_json(request, VmListBody)).vms)

    async def put_vm(self, request: web.Request) -> web.Response:
        """Add or replace the entry of one VM."""
        entry = await read_json(request, VmEntry)
        return self.change_vms((*self.other_entries(request), entry))

    async def delete_vm(self, request: web.Request) -> web.Response:
        """Remove the entry of one VM."""
        return self.change_vms(self.other_entries(request))

    async def report_faults(self, request: web.Request) -> web.Response:
        """Return the faults in force."""
        return json_response(self.faults)

    async def change_faults(self, request: web.Request) -> web.Response:
        """Change the faults that are fields of the body."""
        self.faults = await read_changes(request, self.faults)
        return json_response(self.faults)

    def other_entries(self, request: web.Request) -> tuple[VmEntry, ...]:
        """Return the entries of all VMs except the one in the path."""
        vm = request.match_info['vm']
        return tuple(entry for entry in self.vms.current() if entry.vm != vm)

    def change_vms(self, vms: tuple[VmEntry, ...]) -> web.Response:
        """Set the list.

        Readers see it after the lag, but the first list at once.
        """
        if self.vms.current():
            self.vms.put(vms, self.clock.monotonic())
        else:
            self.vms = LaggedValue(vms, LIST_RETENTION_SECONDS)
        return json_response(VmListBody(vms=vms))

    async def apply_faults(self, request: web.Request) -> None:
        """Apply the faults that come before a call takes effect.

        Raises:
            web.HTTPServiceUnavailable: If the platform is down.
        """
        if self.faults.slow_seconds:
            await asyncio.sleep(self.faults.slow_seconds)
        if request.remote in self.faults.cut_off:
            await wait_for_disconnect()
        if self.faults.down:
            raise web.HTTPServiceUnavailable

    def loses_append(self) -> bool:
        """Return whether this append is lost, and update the count."""
        faults = self.faults
        if not self.sampler.applies(
            faults.lose_appends, faults.next_lost_appends
        ):
            return False
        remaining = decrement_count(faults.next_lost_appends)
        self.faults = msgspec.structs.replace(
            faults, next_lost_appends=remaining
        )
        return True

    def loses_response(self) -> bool:
        """Return whether this append's response is lost; update the count."""
        faults = self.faults
        if not self.sampler.applies(
            faults.lose_answers, faults.next_lost_answers
        ):
            return False
        remaining = decrement_count(faults.next_lost_answers)
        self.faults = msgspec.structs.replace(
            faults, next_lost_answers=remaining
        )
        return True


class VmListBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `PUT /control/vms`, and response to changes of the list."""

    vms: tuple[VmEntry, ...]


async def wait_for_disconnect() -> None:
    """Wait until the caller disconnects, which cancels the handler."""
    await asyncio.Event().wait()
