"""Interface of the service that lists the routers of the fleet."""

from abc import abstractmethod
from typing import ClassVar

from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.fleet_position import FleetPosition
from pollenloom.routing.fleet_router import FleetRouter


class FleetDirectory(KernelService):
    """Routers of the fleet, by their records in the platform's store."""

    name: ClassVar[KernelServiceName] = KernelServiceName.FLEET_DIRECTORY

    @abstractmethod
    def size(self, now: float) -> int:
        """Number of routers assumed to run at `now`; at least 1."""

    @abstractmethod
    def position(self) -> FleetPosition | None:
        """Position of this router; None before the records were read."""

    @abstractmethod
    def routers(self) -> tuple[FleetRouter, ...]:
        """Routers with a record, including this one; some may have failed."""
