"""Kills, freezes and restarts of routers."""

from abc import abstractmethod
from typing import ClassVar

from pollenloom.core.ids import VmId
from pollenloom_standins.history.fault_record import FaultRecord
from pollenloom_standins.soak.fault import Fault
from pollenloom_standins.soak.round_environment import RoundEnvironment
from pollenloom_standins.soak.router_role import AnyRouterRole, RouterRole


class RouterFault(Fault):
    """Base class of the faults of a router, which is chosen by role."""

    def __init__(self, role: RouterRole | None = None) -> None:
        self.role = role or AnyRouterRole()

    async def choose(self, environment: RoundEnvironment) -> str | None:
        """Return a router of the role; see `Fault.choose`."""
        return await self.role.choose(environment)

    @abstractmethod
    async def begin(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Inject the fault."""


class RouterKill(RouterFault):
    """Kills a router and starts it again without its state."""

    async def begin(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Kill it; it stays in rotation, so callers' connections fail."""
        await environment.fleet.routers[VmId(record.target)].kill()

    async def end(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Start it again."""
        await environment.start_router(VmId(record.target))


class RouterFreeze(RouterFault):
    """Suspends a router's process and continues it."""

    async def begin(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Freeze it."""
        environment.fleet.routers[VmId(record.target)].freeze()

    async def end(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Continue it."""
        environment.fleet.routers[VmId(record.target)].resume()


class RouterRestart(RouterFault):
    """Stops a router gracefully and starts it again."""

    seconds: ClassVar[tuple[float, float]] = (0, 1.0)

    async def begin(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Take it out of rotation and stop it."""
        vm = VmId(record.target)
        environment.routers.base_urls.pop(vm, None)
        record.exit_code = await environment.fleet.routers[vm].terminate()

    async def end(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Start it again."""
        await environment.start_router(VmId(record.target))
