"""Roles by which a fault chooses its router."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from pollenloom.membership.rendezvous_ranking import RendezvousRanking
from pollenloom_standins.soak.round_environment import RoundEnvironment

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId

LOG_POSITION_KEY_PREFIX: Final = 'log_position/'


class RouterRole(ABC):
    """Chooses a router by its role in the fleet."""

    @abstractmethod
    async def choose(self, environment: RoundEnvironment) -> str | None:
        """Return a random router of the role that no fault acts on, if any."""


class AnyRouterRole(RouterRole):
    """Any router."""

    async def choose(self, environment: RoundEnvironment) -> str | None:
        """Return a random router; see `RouterRole.choose`."""
        return environment.pick(
            [plan.vm for plan in environment.fleet.plan.routers]
        )


class PoolOwnerRole(RouterRole):
    """A pool owner."""

    async def choose(self, environment: RoundEnvironment) -> str | None:
        """Return a pool owner that a router's status names."""
        status = await environment.operator_client().status()
        if status.is_error():
            return None
        return environment.pick(
            sorted({pool.owner for pool in status.ok.pools})
        )


class LogReaderRole(RouterRole):
    """The first log reader of a data centre."""

    async def choose(self, environment: RoundEnvironment) -> str | None:
        """Return a router that ranks first for its data centre's log."""
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
