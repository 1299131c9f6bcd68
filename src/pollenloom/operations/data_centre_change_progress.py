"""Outcome of a drain or restore."""

import msgspec

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import DataCentreState


class DataCentreChangeProgress(msgspec.Struct, frozen=True, kw_only=True):
    """How far a state of a data centre has spread.

    Attributes:
        routers: Routers of the fleet, as the asked router knows it.
        routers_with_state: Routers that have the state in force.
        missing: Routers that have it not or did not answer.
    """

    data_centre: DataCentreId
    state: DataCentreState
    routers: int
    routers_with_state: int
    missing: tuple[VmId, ...]
