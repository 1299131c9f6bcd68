"""A router of the fleet."""

from dataclasses import dataclass

from pollenloom.core.host_port import Address
from pollenloom.core.ids import DataCentreId, VmId


@dataclass(frozen=True, slots=True)
class FleetRouter:
    """A router as its record in the store tells.

    Attributes:
        address: Where it hears of the load of others.
        capacity: Processor power, in cores of a common speed; more is asked
            of larger machines.
    """

    vm: VmId
    data_centre: DataCentreId
    address: Address
    capacity: float
