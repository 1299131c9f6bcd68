"""Order of a number of backend servers."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import DataCentreId, ServiceId


@dataclass(frozen=True, slots=True)
class ServerOrder:
    """Number of servers that a service should have in a data centre.

    Attributes:
        service: The service.
        data_centre: The data centre.
        desired: Number of servers, with those that still start.
    """

    service: 'ServiceId'
    data_centre: 'DataCentreId'
    desired: int
