"""Records that routers write about themselves."""

from typing import Annotated, Final

import msgspec
from expression import Result

from pollenloom.core.failure import Failure
from pollenloom.core.host_port import split_ipv4_address
from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.routing.fleet_router import FleetRouter
from pollenloom.validation.untrusted_bytes import validated

# Cores of the largest machines are some hundreds.
MAX_CAPACITY: Final = 65_536


class RouterRecord(msgspec.Struct, frozen=True):
    """Record that a router writes about itself.

    Attributes:
        peers: Address at which it receives load reports, `host:port`.
        data_centre: Data centre in which it runs.
        capacity: Processor power; see `FleetRouter.capacity`.
        is_leaving: Whether it is about to stop.
    """

    peers: str
    data_centre: DataCentreId
    capacity: Annotated[float, msgspec.Meta(ge=0, le=MAX_CAPACITY)]
    is_leaving: bool = False


def read_router(
    vm: VmId, record: RouterRecord
) -> Result[FleetRouter | None, Failure]:
    """Return the router of a record; None if it is about to stop.

    Errors:
        PROTOCOL_ERROR: The address is not valid.
    """
    return validated(lambda: split_ipv4_address(record.peers)).map(
        lambda address: (
            None
            if record.is_leaving
            else FleetRouter(vm, record.data_centre, address, record.capacity)
        )
    )
