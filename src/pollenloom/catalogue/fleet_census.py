"""Interface of the service that knows how many routers share the load."""

from abc import abstractmethod
from typing import ClassVar

from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName


class FleetCensus(KernelService):
    """Routers of the fleet, by the platform's store."""

    name: ClassVar[KernelServiceName] = KernelServiceName.FLEET_CENSUS

    @abstractmethod
    def size(self, now: float) -> int:
        """Routers that are taken to run at `now`; at least one."""

    @abstractmethod
    def peers(self) -> tuple[str, ...]:
        """Addresses at which the other routers hear of load."""
