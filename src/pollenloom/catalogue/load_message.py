"""Datagrams by which routers tell each other of load."""

from typing import Final

import cbor2
import msgspec
from expression import Error, Ok, Result

from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.catalogue.topic_state import TopicUpdate
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import DataCentreId, ServiceId, VmId
from pollenloom.routing.load_sum import LoadSum
from pollenloom.routing.service_load import ServiceLoad


class RouterLoadMessage(msgspec.Struct, frozen=True, tag='report'):
    """Load of the sender.

    Attributes:
        wants_sum: Whether the receiver is to answer with the fleet's sum.
    """

    router: VmId
    number: int
    loads: dict[ServiceId, ServiceLoad]
    wants_sum: bool = False


class DataCentreLoadMessage(msgspec.Struct, frozen=True, tag='part'):
    """Sum over a data centre, from one of its collectors."""

    router: VmId
    data_centre: DataCentreId
    part: LoadSum


class FleetLoadMessage(msgspec.Struct, frozen=True, tag='sum'):
    """Sum over the fleet, from a collector to those who report to it."""

    router: VmId
    total: LoadSum


class TopicUpdateMessage(msgspec.Struct, frozen=True, tag='news'):
    """What the sender knows of topics of the store, for its members."""

    router: VmId
    topics: dict[StoreTopic, TopicUpdate]


LoadMessage = (
    RouterLoadMessage
    | DataCentreLoadMessage
    | FleetLoadMessage
    | TopicUpdateMessage
)
# CBOR has a type for bytes, unlike the JSON that msgspec is made for.
OWN_TYPES: Final = (bytes,)


def encode_message(message: LoadMessage) -> bytes:
    """Return a datagram."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=OWN_TYPES))


def decode_message(content: bytes) -> Result[LoadMessage, Failure]:
    """Read a datagram; anyone can send one."""
    try:
        return Ok(
            msgspec.convert(
                cbor2.loads(content),
                LoadMessage,
                builtin_types=OWN_TYPES,
            )
        )
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        return Error(Failure(ErrorKind.PROTOCOL_ERROR, repr(error)))
