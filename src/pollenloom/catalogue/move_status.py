"""State of a version move, as routers write it to the store."""

from dataclasses import dataclass

from pollenloom.core.ids import ServiceId, VersionId
from pollenloom.core.states import MoveState


@dataclass(frozen=True, slots=True)
class MoveStatus:
    """State of the move of one service to another version."""

    service: ServiceId
    to_version: VersionId
    state: MoveState
