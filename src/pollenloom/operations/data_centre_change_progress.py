"""Progress of a drain or restore of a data centre."""

import msgspec

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import DataCentreState


class DataCentreChangeProgress(msgspec.Struct, frozen=True, kw_only=True):
    """How many routers have a state of a data centre in force.

    Attributes:
        routers: Number of routers that the asked router knows.
        routers_with_state: Number of routers that have the state in force.
        missing: Routers without the state or without a reply.
    """

    data_centre: DataCentreId
    state: DataCentreState
    routers: int
    routers_with_state: int
    missing: tuple[VmId, ...]
