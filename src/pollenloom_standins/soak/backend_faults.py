"""Faults of backend servers."""

from dataclasses import replace
from typing import ClassVar, Final

from pollenloom.core.states import VmListState
from pollenloom_standins.history.fault_record import FaultRecord
from pollenloom_standins.soak.fault import Fault
from pollenloom_standins.soak.round_environment import RoundEnvironment

COLD_SECONDS: Final = 3
LEAVING_SECONDS_RANGE: Final = (6.5, 8.0)
LIST_LAG_SECONDS: Final = (0, 2.0)


class BackendFault(Fault):
    """Base class of the faults of a backend server."""

    async def choose(self, environment: RoundEnvironment) -> str | None:
        """Return a random backend server; see `Fault.choose`."""
        return environment.pick(
            [plan.vm for plan in environment.fleet.plan.backends]
        )


class BackendSwitch(BackendFault):
    """Sets fault switches of a stand-in and resets them."""

    def __init__(
        self,
        switches: dict[str, object],
        reset: dict[str, object],
    ) -> None:
        self.switches = switches
        self.reset = reset

    async def begin(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Set the switches."""
        await environment.set_backend_faults(record.target, **self.switches)

    async def end(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Reset the switches, unless the fault ends by itself."""
        if self.reset:
            await environment.set_backend_faults(record.target, **self.reset)


class BackendKill(BackendFault):
    """Kills a server and starts it again cold, at another port."""

    async def begin(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Freeze it, so that its records are final; fetch them; kill it."""
        plan = environment.backend_plan(record.target)
        await environment.set_backend_faults(plan.vm, frozen=True)
        await environment.collector.fetch(plan)
        await environment.fleet.backends[plan.vm].kill()

    async def end(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Start it cold and put its new address into the VM list."""
        plan = environment.backend_plan(record.target)
        options = ('--cold-seconds', str(COLD_SECONDS))
        await environment.fleet.start_backend(replace(plan, options=options))
        environment.collector.record_start(plan.vm)
        await environment.fleet.put_backend_entry(plan)


class BackendLeaving(BackendFault):
    """Lists a server as leaving; the VM list may lag."""

    seconds: ClassVar[tuple[float, float]] = LEAVING_SECONDS_RANGE

    async def begin(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Set the lag and list the server as leaving."""
        record.list_lag_seconds = environment.random_source.choice(
            LIST_LAG_SECONDS
        )
        lag = record.list_lag_seconds
        await environment.set_platform_faults(list_lag_seconds=lag)
        plan = environment.backend_plan(record.target)
        await environment.fleet.put_backend_entry(plan, VmListState.LEAVING)

    async def end(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """List it as live and remove the lag."""
        plan = environment.backend_plan(record.target)
        await environment.fleet.put_backend_entry(plan)
        await environment.set_platform_faults(list_lag_seconds=0)


class BackendLeavingUnlisted(BackendSwitch):
    """Makes a server refuse requests as leaving although it is listed live."""

    seconds: ClassVar[tuple[float, float]] = LEAVING_SECONDS_RANGE

    def __init__(self) -> None:
        super().__init__({'leaving': True}, {'leaving': False})
