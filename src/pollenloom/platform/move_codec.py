"""Encoding of version moves, called roll-outs in the platform's protocol.

Field names of the `Wire*` structs are keys of the JSON records.
"""

from types import MappingProxyType
from typing import Annotated, Final

import msgspec
from expression import Error, Ok, Result

from pollenloom.catalogue.move_status import MoveStatus
from pollenloom.catalogue.operator_change import MoveOrder
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import Offset, ServiceId, VersionId
from pollenloom.core.states import MoveState
from pollenloom.platform import wire_names

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
    try:
        wire = msgspec.json.decode(payload, type=WireRollout)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(Failure(ErrorKind.PROTOCOL_ERROR, str(error)))
    target = VersionId(wire.target)
    return Ok(MoveOrder(service, target, wire.duration_s, offset))


def decode_move_status(
    service: ServiceId, payload: bytes
) -> Result[MoveStatus, Failure]:
    """Decode a state.

    Errors:
        PROTOCOL_ERROR: The payload is not valid, or its state is unknown.
    """
    try:
        wire = msgspec.json.decode(payload, type=WireRolloutState)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(Failure(ErrorKind.PROTOCOL_ERROR, str(error)))
    state = STATES.get(wire.state)
    if state is None:
        return Error(
            Failure(ErrorKind.PROTOCOL_ERROR, f'unknown state {wire.state}')
        )
    return Ok(MoveStatus(service, VersionId(wire.target), state))


def encode_move_status(status: MoveStatus) -> bytes:
    """Return the payload of a state."""
    return msgspec.json.encode(
        WireRolloutState(STATE_NAMES[status.state], status.to_version)
    )
