"""Decoding of the entries that backend servers write to the store."""

from typing import Annotated, Final

import msgspec
from expression import Error, Ok, Result

from pollenloom.core.failure import Failure
from pollenloom.core.ids import DataCentreId, ServerId, ServiceId, VersionId
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.platform import wire_names
from pollenloom.routing.server_entry import ServerEntry
from pollenloom.validation.untrusted_bytes import (
    decode_json,
    unknown_state,
)

STATES: Final = frozenset((wire_names.STATE_READY, wire_names.STATE_DRAINING))
ADDRESS: Final = r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$'


class WireServer(msgspec.Struct, frozen=True):
    """Entry of one backend server.

    Other programs write to the same topic, so each field is validated.

    Attributes:
        zone: Data centre of the server.
        cold_remaining_ms: Milliseconds until the server is warm.
        born: Start of the server in Unix milliseconds; 0 in entries of
            servers that predate the field.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: Annotated[str, msgspec.Meta(pattern=ADDRESS)]
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)]
    seq: int
    born: int = 0


def decode_server_entry(
    server: ServerId,
    payload: bytes,
) -> Result[ServerEntry, Failure]:
    """Decode an entry.

    Errors:
        PROTOCOL_ERROR: The payload is not a valid entry, or its state is
            unknown.
    """
    return decode_json(payload, WireServer).bind(
        lambda wire: read_entry(server, wire)
    )


def read_entry(
    server: ServerId, wire: WireServer
) -> Result[ServerEntry, Failure]:
    """Return the entry; PROTOCOL_ERROR if it is not valid."""
    if wire.state not in STATES:
        return Error(unknown_state(wire.state))
    return Ok(
        ServerEntry(
            server=server,
            service=ServiceId(wire.service),
            address=wire.address,
            data_centre=DataCentreId(wire.zone),
            version=VersionId(wire.version),
            slots=wire.slots,
            is_leaving=wire.state == wire_names.STATE_DRAINING,
            cold_seconds=wire.cold_remaining_ms / MILLISECONDS_PER_SECOND,
            started_at=wire.born / MILLISECONDS_PER_SECOND,
        )
    )
