"""HTTP service of the platform stand-in."""

import asyncio
from typing import TYPE_CHECKING, ClassVar, Final

import msgspec
from aiohttp import web

from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.log_service.vm_entry import VmEntry, VmList
from pollenloom_standins.fault_draw import FaultDraw, one_less
from pollenloom_standins.lagged_value import LaggedValue
from pollenloom_standins.platform.platform_faults import PlatformFaults
from pollenloom_standins.platform.rate_limit import RateLimit
from pollenloom_standins.platform.record_log import RecordLog
from pollenloom_standins.serving.json_answers import (
    json_answer,
    read_changes,
    read_json,
    read_query_number,
)
from pollenloom_standins.serving.route_source import RouteSource

if TYPE_CHECKING:
    from pollenloom.kernel.clock import Clock

MAXIMUM_PAGE: Final = 10_000
# Bounds the lag of the VM list that can be set.
KEPT_LIST_SECONDS: Final = 3600


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
        self.draw = FaultDraw(seed)
        self.vms: LaggedValue[tuple[VmEntry, ...]] = LaggedValue(
            (),
            KEPT_LIST_SECONDS,
        )

    def routes(self) -> list[web.RouteDef]:
        """Return the platform's routes and those of its control."""
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
        """Append the body as a record."""
        payload = await request.read()
        await self.pass_faults(request)
        now = self.clock.monotonic()
        if not self.rate_limit.take(now):
            raise web.HTTPTooManyRequests(headers={'Retry-After': '1'})
        if self.loses_append():
            await never_answer()
        offset = self.log.append(payload, self.clock.wall())
        if self.loses_answer():
            await never_answer()
        return json_answer({'offset': offset})

    async def read(self, request: web.Request) -> web.Response:
        """Return a page of the log."""
        await self.pass_faults(request)
        start = read_query_number(request, 'from', 0)
        limit = min(read_query_number(request, 'limit', 1000), MAXIMUM_PAGE)
        return json_answer(self.log.read(start, limit, self.clock.wall()))

    async def list_vms(self, request: web.Request) -> web.Response:
        """Return the list of VMs as it was some time ago."""
        await self.pass_faults(request)
        lag = self.faults.list_lag_seconds
        seen = self.vms.seen(self.clock.monotonic(), lag)
        return json_answer(VmList(as_of=self.clock.wall() - lag, vms=seen))

    async def put_vms(self, request: web.Request) -> web.Response:
        """Replace the whole list; the body is `{"vms": [...]}`."""
        return self.change_vms((await read_json(request, VmListBody)).vms)

    async def put_vm(self, request: web.Request) -> web.Response:
        """Add or replace one entry."""
        entry = await read_json(request, VmEntry)
        return self.change_vms((*self.others(request), entry))

    async def delete_vm(self, request: web.Request) -> web.Response:
        """Remove one entry."""
        return self.change_vms(self.others(request))

    async def report_faults(self, request: web.Request) -> web.Response:
        """Return the faults in force."""
        return json_answer(self.faults)

    async def change_faults(self, request: web.Request) -> web.Response:
        """Change the faults that the body names."""
        self.faults = await read_changes(request, self.faults)
        return json_answer(self.faults)

    def others(self, request: web.Request) -> tuple[VmEntry, ...]:
        """Return the entries of all VMs but the one that the path names."""
        vm = request.match_info['vm']
        return tuple(entry for entry in self.vms.current() if entry.vm != vm)

    def change_vms(self, vms: tuple[VmEntry, ...]) -> web.Response:
        """Set the list; readers see it after the lag, the first one at once."""
        if self.vms.current():
            self.vms.put(vms, self.clock.monotonic())
        else:
            self.vms = LaggedValue(vms, KEPT_LIST_SECONDS)
        return json_answer(VmListBody(vms=vms))

    async def pass_faults(self, request: web.Request) -> None:
        """Apply the faults that come before a call takes effect.

        Raises:
            web.HTTPServiceUnavailable: If the platform is down.
        """
        if self.faults.slow_seconds:
            await asyncio.sleep(self.faults.slow_seconds)
        if request.remote in self.faults.cut_off:
            await never_answer()
        if self.faults.down:
            raise web.HTTPServiceUnavailable

    def loses_append(self) -> bool:
        """Whether this append is lost; counts it if so."""
        faults = self.faults
        if not self.draw.hits(faults.lose_appends, faults.next_lost_appends):
            return False
        left = one_less(faults.next_lost_appends)
        self.faults = msgspec.structs.replace(faults, next_lost_appends=left)
        return True

    def loses_answer(self) -> bool:
        """Whether the answer to this append is lost; counts it if so."""
        faults = self.faults
        if not self.draw.hits(faults.lose_answers, faults.next_lost_answers):
            return False
        left = one_less(faults.next_lost_answers)
        self.faults = msgspec.structs.replace(faults, next_lost_answers=left)
        return True


class VmListBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `PUT /control/vms`."""

    vms: tuple[VmEntry, ...]


async def never_answer() -> None:
    """Wait until the caller disconnects, which cancels the handler."""
    await asyncio.Event().wait()
