"""Encoding of version moves, called roll-outs in the platform's protocol.

Field names of the `Wire*` structs are keys of the JSON records.
"""

from types import MappingProxyType
from typing import Annotated, Final

import msgspec
from expression import Error, Ok, Result

from pollenloom.catalogue.move_status import MoveStatus
from pollenloom.catalogue.operator_change import MoveOrder
from pollenloom.core.failure import Failure
from pollenloom.core.ids import Offset, ServiceId, VersionId
from pollenloom.core.states import MoveState
from pollenloom.platform import wire_names
from pollenloom.validation.untrusted_bytes import decode_json, unknown_state

STATE_NAMES: Final = MappingProxyType(
    {
        MoveState.RUNNING: wire_names.MOVE_ACTIVE,
        MoveState.DONE: wire_names.MOVE_COMPLETED,
        MoveState.REVERTED: wire_names.MOVE_ROLLED_BACK,
    }
)
STATES: Final = MappingProxyType(
    {name: state for state, name in STATE_NAMES.items()}
)


class WireRollout(msgspec.Struct, frozen=True):
    """Order of an operator; the service is also in its key.

    Attributes:
        target: Version that replaces all others.
        duration_s: Seconds after which the move must have ended.
    """

    target: Annotated[str, msgspec.Meta(min_length=1)]
    duration_s: Annotated[float, msgspec.Meta(ge=0)]


class WireRolloutState(msgspec.Struct, frozen=True):
    """State that the routers write for operators."""

    state: str
    target: str


def decode_move_order(
    service: ServiceId, payload: bytes, offset: Offset
) -> Result[MoveOrder, Failure]:
    """Decode an order; an empty payload withdraws it.

    Errors:
        PROTOCOL_ERROR: The payload is not a valid order.
    """
    if not payload:
        return Ok(MoveOrder(service, None, 0, offset))
    return decode_json(payload, WireRollout).map(
        lambda wire: MoveOrder(
            service, VersionId(wire.target), wire.duration_s, offset
        )
    )


def decode_move_status(
    service: ServiceId, payload: bytes
) -> Result[MoveStatus, Failure]:
    """Decode a state.

    Errors:
        PROTOCOL_ERROR: The payload is not valid, or its state is unknown.
    """
    return decode_json(payload, WireRolloutState).bind(
        lambda wire: read_status(service, wire)
    )


def read_status(
    service: ServiceId, wire: WireRolloutState
) -> Result[MoveStatus, Failure]:
    """Return the state of a move; PROTOCOL_ERROR if it is unknown."""
    state = STATES.get(wire.state)
    if state is None:
        return Error(unknown_state(wire.state))
    return Ok(MoveStatus(service, VersionId(wire.target), state))


def encode_move_status(status: MoveStatus) -> bytes:
    """Return the payload of a state."""
    return msgspec.json.encode(
        WireRolloutState(STATE_NAMES[status.state], status.to_version)
    )
