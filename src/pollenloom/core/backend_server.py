"""A backend server that requests can be sent to."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import (
        DataCentreId,
        ServerId,
        ServiceId,
        VersionId,
    )


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Address and capacity of one backend server.

    Attributes:
        server: Unique id in the fleet.
        service: Service that it runs.
        data_centre: Data centre that it is in.
        version: Version of the service that it runs.
        address: `host:port` with an IP address.
        slots: Concurrent requests that it can serve when warm.
        cold_slots: Concurrent requests that it can serve when cold.
    """

    server: 'ServerId'
    service: 'ServiceId'
    data_centre: 'DataCentreId'
    version: 'VersionId'
    address: str
    slots: int
    cold_slots: int
