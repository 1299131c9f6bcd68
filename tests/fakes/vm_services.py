"""Routers of a test that share an event loop and a platform."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.log_service.log_reader import LogReader
from pollenloom.membership.member import Member
from pollenloom.observability.event_log import EventLog
from tests.fakes.memory_membership import MemoryMembership, make_member
from tests.fakes.memory_platform import MemoryPlatform
from tests.fakes.memory_registers import MemoryRegisters
from tests.manual_clock import ManualClock

POLL_SECONDS = 0.01
WAIT_SECONDS = 20
# The clock of a fleet runs ten times as fast as real time.
TICK_SECONDS = 0.1


@dataclass
class VmServices:
    """Services of the router on one VM."""

    kernel: Kernel
    registers: MemoryRegisters
    log: LogReader

    @property
    def event_names(self) -> list[str]:
        """Names of the recorded events, oldest first."""
        events = self.kernel.find(EventLog.name, EventLog).events
        return [event.name for event in events]


@dataclass
class VmFleet:
    """Routers that share a clock and a platform."""

    clock: ManualClock
    platform: MemoryPlatform
    members: list[Member] = field(default_factory=list)
    routers: list[VmServices] = field(default_factory=list)

    async def start(
        self,
        vm: str,
        data_centre: str = 'enschede',
        more: Sequence[Callable[[Kernel], KernelService]] = (),
    ) -> VmServices:
        """Start a router and connect it to all running ones.

        Args:
            vm: Id of the VM.
            data_centre: Id of its data centre.
            more: Factories of further services, registered last.
        """
        member = make_member(vm, data_centre)
        self.members.append(member)
        kernel = Kernel(self.clock)
        registers = MemoryRegisters()
        log = LogReader(kernel, POLL_SECONDS)
        services = (
            EventLog(self.clock),
            MemoryMembership(member, self.members),
            registers,
            self.platform,
            log,
            *(make(kernel) for make in more),
        )
        for service in services:
            kernel.register(service)
        await kernel.start()
        for peer in self.routers:
            registers.connect(peer.registers)
        router = VmServices(kernel, registers, log)
        self.routers.append(router)
        return router

    async def kill(self, router: VmServices) -> None:
        """Stop a router; the other routers see it removed at once."""
        position = self.routers.index(router)
        self.routers.pop(position)
        self.members.pop(position)
        for peer in self.routers:
            peer.registers.links.remove(router.registers)
        await router.kernel.stop()

    async def until(self, condition: Callable[[], object]) -> None:
        """Advance the clock until a condition holds.

        Raises:
            TimeoutError: If it does not hold within `WAIT_SECONDS`.
        """
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                self.clock.advance(TICK_SECONDS)
                await asyncio.sleep(POLL_SECONDS)

    async def stop(self) -> None:
        """Stop all routers."""
        for router in tuple(self.routers):
            await self.kill(router)
