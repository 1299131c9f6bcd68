"""Faults of backend servers."""

from dataclasses import replace
from typing import ClassVar, Final

from pollenloom.core.states import VmListState
from pollenloom_standins.history.fault_record import FaultRecord
from pollenloom_standins.soak.fault import Fault
from pollenloom_standins.soak.ground import Ground

COLD_SECONDS: Final = 3
LEAVING_RANGE: Final = (6.5, 8.0)
LIST_LAGS: Final = (0, 2.0)


class BackendFault(Fault):
    """Happens to a backend server."""

    async def choose(self, ground: Ground) -> str | None:
        """Return any backend server."""
        return ground.pick([plan.vm for plan in ground.fleet.plan.backends])


class BackendSwitch(BackendFault):
    """Sets switches of a stand-in and resets them."""

    def __init__(
        self,
        switches: dict[str, object],
        reset: dict[str, object],
    ) -> None:
        self.switches = switches
        self.reset = reset

    async def begin(self, ground: Ground, record: FaultRecord) -> None:
        """Set the switches."""
        await ground.set_backend_faults(record.target, **self.switches)

    async def end(self, ground: Ground, record: FaultRecord) -> None:
        """Reset them."""
        if self.reset:
            await ground.set_backend_faults(record.target, **self.reset)


class BackendKill(BackendFault):
    """Kills a server; it starts again cold, at another port."""

    async def begin(self, ground: Ground, record: FaultRecord) -> None:
        """Kill it, with its records fetched when it runs nothing more."""
        plan = ground.backend_plan(record.target)
        await ground.set_backend_faults(plan.vm, frozen=True)
        await ground.collector.fetch(plan)
        await ground.fleet.backends[plan.vm].kill()

    async def end(self, ground: Ground, record: FaultRecord) -> None:
        """Start it cold and put its new address into the VM list."""
        plan = ground.backend_plan(record.target)
        options = ('--cold-seconds', str(COLD_SECONDS))
        await ground.fleet.start_backend(replace(plan, options=options))
        ground.collector.note_start(plan.vm)
        await ground.fleet.put_backend_entry(plan)


class BackendLeaving(BackendFault):
    """Lists a server as leaving; the list may lag."""

    seconds: ClassVar[tuple[float, float]] = LEAVING_RANGE

    async def begin(self, ground: Ground, record: FaultRecord) -> None:
        """Change its entry in the VM list."""
        record.list_lag_seconds = ground.draw.choice(LIST_LAGS)
        lag = record.list_lag_seconds
        await ground.set_platform_faults(list_lag_seconds=lag)
        plan = ground.backend_plan(record.target)
        await ground.fleet.put_backend_entry(plan, VmListState.LEAVING)

    async def end(self, ground: Ground, record: FaultRecord) -> None:
        """List it as live."""
        plan = ground.backend_plan(record.target)
        await ground.fleet.put_backend_entry(plan)
        await ground.set_platform_faults(list_lag_seconds=0)


class BackendLeavingUnlisted(BackendSwitch):
    """Lets a server refuse as leaving while the list shows it as live."""

    seconds: ClassVar[tuple[float, float]] = LEAVING_RANGE

    def __init__(self) -> None:
        super().__init__({'leaving': True}, {'leaving': False})
