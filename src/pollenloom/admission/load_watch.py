"""Reads the load reports of the servers of own pools."""

import asyncio
from typing import ClassVar, Final

import aiohttp
import msgspec

from pollenloom.admission.admission import Admission
from pollenloom.admission.allocator_admission import AllocatorAdmission
from pollenloom.admission.pool_owners import PoolOwners
from pollenloom.admission.server_state import ServerState
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.settings.router_settings import RouterSettings

# As often as reports change by their usual lag.
POLL_SECONDS: Final = 0.5
# A warm server is asked less often: its answers show a cold start first.
WARM_POLLS: Final = 4
ANSWER_SECONDS: Final = 1.0


class LoadReport(msgspec.Struct, frozen=True):
    """The part of a load report that is used here.

    Attributes:
        cold: Whether the server is in a cold start; none if it cannot tell.
    """

    cold: bool | None = None


class LoadWatch(KernelService):
    """Tells the ramps of own pools which servers are cold.

    Good answers alone do not show that a cold start is over, since a cold
    server answers as fast as a warm one up to its cold slots.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.LOAD

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    @classmethod
    def from_config(cls, kernel: Kernel, _: RouterSettings) -> 'LoadWatch':
        """Return the service; it has no settings of its own."""
        return cls(kernel)

    async def start(self) -> None:
        """Watch the servers if admission has pool owners."""
        admission = self.kernel.find(KernelServiceName.ADMISSION, Admission)
        if isinstance(admission, AllocatorAdmission):
            admission.owners.expect_load_reports()
            self.kernel.spawn('load-watch', self.watch(admission.owners))

    async def stop(self) -> None:
        """Nothing to release: the kernel ends the task."""

    async def watch(self, owners: PoolOwners) -> None:
        """Ask the servers of own pools until the router stops."""
        timeout = aiohttp.ClientTimeout(total=ANSWER_SECONDS)
        polls = 0
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                due = [
                    state
                    for allocator in owners.allocators.values()
                    for state in allocator.servers
                    if state.ramp.cold or polls % WARM_POLLS == 0
                ]
                await asyncio.gather(
                    *(self.ask(session, state) for state in due),
                )
                polls += 1
                await asyncio.sleep(POLL_SECONDS)

    async def ask(
        self,
        session: aiohttp.ClientSession,
        state: ServerState,
    ) -> None:
        """Take over the report of one server."""
        ramp = state.ramp
        report = await fetch(session, state.server.address)
        ramp.report_load(self.kernel.clock.monotonic(), cold=report.cold)


async def fetch(session: aiohttp.ClientSession, address: str) -> LoadReport:
    """Return a server's report; an empty one if it gives none."""
    try:
        async with session.get(f'http://{address}/load') as answer:
            content = await answer.read()
        return msgspec.json.decode(content, type=LoadReport)
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
        return LoadReport()
