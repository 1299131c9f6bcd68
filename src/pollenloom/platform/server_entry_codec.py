"""Decoding of the entries that backend servers write to the store."""

from typing import Annotated, Final

import msgspec
from expression import Error, Result

from pollenloom.core.failure import Failure
from pollenloom.core.ids import DataCentreId, ServerId, ServiceId, VersionId
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.platform import wire_names
from pollenloom.routing.server_entry import ServerEntry
from pollenloom.validation.untrusted_bytes import (
    decode_json,
    unknown_state,
    validated,
)

STATES: Final = frozenset((wire_names.STATE_READY, wire_names.STATE_DRAINING))


class WireServer(msgspec.Struct, frozen=True):
    """Entry of one backend server.

    Other programs write to the same topic, so the type of each field is
    validated here, and the range of its value in `ServerEntry`.

    Attributes:
        zone: Data centre of the server.
        cold_remaining_ms: Milliseconds until the server is warm.
        born: Start of the server in Unix milliseconds; 0 in entries of
            servers that predate the field.
    """

    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    version: str
    slots: int
    state: str
    cold_remaining_ms: float
    seq: int
    born: int = 0


def decode_server_entry(
    server: ServerId,
    payload: bytes,
) -> Result[ServerEntry, Failure]:
    """Decode an entry.

    Errors:
        PROTOCOL_ERROR: The payload is not a valid entry, its state is
            unknown, or a value is out of range.
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
    return validated(
        lambda: ServerEntry(
            server=server,
            service=ServiceId(wire.service),
            address=wire.address,
            data_centre=DataCentreId(wire.zone),
            version=VersionId(wire.version),
            slots=wire.slots,
            is_leaving=wire.state == wire_names.STATE_DRAINING,
            cold_seconds=wire.cold_remaining_ms / MILLISECONDS_PER_SECOND,
            started_at=wire.born / MILLISECONDS_PER_SECOND,
            sequence=wire.seq,
        )
    )
