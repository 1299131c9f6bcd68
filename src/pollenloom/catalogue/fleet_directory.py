"""Interface of the service that knows how many routers share the load."""

from abc import abstractmethod
from typing import ClassVar

from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.fleet_position import FleetPosition
from pollenloom.routing.fleet_router import FleetRouter


class FleetDirectory(KernelService):
    """Routers of the fleet, by the platform's store."""

    name: ClassVar[KernelServiceName] = KernelServiceName.FLEET_DIRECTORY

    @abstractmethod
    def size(self, now: float) -> int:
        """Routers that are taken to run at `now`; at least one."""

    @abstractmethod
    def position(self) -> FleetPosition | None:
        """Place of this router; None before the records were read."""

    @abstractmethod
    def routers(self) -> tuple[FleetRouter, ...]:
        """Routers by their records, this one among them; some may be gone."""
