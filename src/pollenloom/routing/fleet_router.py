"""A router of the fleet."""

from dataclasses import dataclass

from pollenloom.core.host_port import Address
from pollenloom.core.ids import DataCentreId, VmId


@dataclass(frozen=True, slots=True)
class FleetRouter:
    """A router, as described by its record in the store.

    Attributes:
        address: Where it receives load reports of other routers.
        capacity: Processor power, in cores of a common speed; larger VMs are
            preferred as collectors.
    """

    vm: VmId
    data_centre: DataCentreId
    address: Address
    capacity: float
