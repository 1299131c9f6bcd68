"""Faults and restarts of routers."""

from abc import abstractmethod
from typing import ClassVar

from pollenloom.core.ids import VmId
from pollenloom_standins.history.fault_record import FaultRecord
from pollenloom_standins.soak.fault import Fault
from pollenloom_standins.soak.ground import Ground
from pollenloom_standins.soak.router_role import AnyRouterRole, RouterRole


class RouterFault(Fault):
    """Happens to a router of some role."""

    def __init__(self, role: RouterRole | None = None) -> None:
        self.role = role or AnyRouterRole()

    async def choose(self, environment: Ground) -> str | None:
        """Return a router of the role."""
        return await self.role.choose(environment)

    @abstractmethod
    async def begin(self, environment: Ground, record: FaultRecord) -> None:
        """Put it in force."""


class RouterKill(RouterFault):
    """Kills a router and starts it empty."""

    async def begin(self, environment: Ground, record: FaultRecord) -> None:
        """Kill it; callers' connections are refused from now on."""
        await environment.fleet.routers[VmId(record.target)].kill()

    async def end(self, environment: Ground, record: FaultRecord) -> None:
        """Start it again."""
        await environment.start_router(VmId(record.target))


class RouterFreeze(RouterFault):
    """Stops a router's process and lets it go on."""

    async def begin(self, environment: Ground, record: FaultRecord) -> None:
        """Freeze it."""
        environment.fleet.routers[VmId(record.target)].freeze()

    async def end(self, environment: Ground, record: FaultRecord) -> None:
        """Let it go on."""
        environment.fleet.routers[VmId(record.target)].resume()


class RouterRestart(RouterFault):
    """Stops a router gracefully and starts it again."""

    seconds: ClassVar[tuple[float, float]] = (0, 1.0)

    async def begin(self, environment: Ground, record: FaultRecord) -> None:
        """Stop it; the balancer sends no further calls from now on."""
        vm = VmId(record.target)
        environment.routers.base_urls.pop(vm, None)
        record.exit_code = await environment.fleet.routers[vm].terminate()

    async def end(self, environment: Ground, record: FaultRecord) -> None:
        """Start it again."""
        await environment.start_router(VmId(record.target))
