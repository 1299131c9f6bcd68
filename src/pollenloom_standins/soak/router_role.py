"""Which router a fault happens to."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from pollenloom.membership.rendezvous_ranking import RendezvousRanking
from pollenloom_standins.soak.ground import Ground

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId

LOG_POSITION_KEY_PREFIX: Final = 'log_position/'


class RouterRole(ABC):
    """Chooses a router by what it does in the fleet."""

    @abstractmethod
    async def choose(self, environment: Ground) -> str | None:
        """Return a router that no fault acts on, if there is one."""


class AnyRouterRole(RouterRole):
    """Any router."""

    async def choose(self, environment: Ground) -> str | None:
        """Return any router."""
        return environment.pick(
            [plan.vm for plan in environment.fleet.plan.routers]
        )


class PoolOwnerRole(RouterRole):
    """The owner of a pool."""

    async def choose(self, environment: Ground) -> str | None:
        """Return an owner as a router's status names it."""
        status = await environment.operators().status()
        if status.is_error():
            return None
        return environment.pick(
            sorted({pool.owner for pool in status.ok.pools})
        )


class LogReaderRole(RouterRole):
    """The first log reader of a data centre."""

    async def choose(self, environment: Ground) -> str | None:
        """Return the router that ranks first for its data centre's log."""
        by_data_centre: dict[str, list[VmId]] = {}
        for plan in environment.fleet.plan.routers:
            by_data_centre.setdefault(plan.data_centre, []).append(plan.vm)
        return environment.pick(
            [
                RendezvousRanking(vms).ranked(
                    f'{LOG_POSITION_KEY_PREFIX}{name}'
                )[0]
                for name, vms in by_data_centre.items()
            ],
        )
