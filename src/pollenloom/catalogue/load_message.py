"""Datagrams in which routers exchange load reports, topic updates and facts."""

from typing import Annotated, Final

import cbor2
import msgspec
from expression import Error, Ok, Result

from pollenloom.catalogue.duty_messages import (
    DutyNoticesMessage,
    WindowCountsMessage,
    WindowReceiptMessage,
)
from pollenloom.catalogue.fact_message import FactsMessage
from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.catalogue.topic_state import TopicUpdate
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import DataCentreId, ServiceId, VmId
from pollenloom.routing.load_sum import LoadSum
from pollenloom.routing.service_load import ServiceLoad
from pollenloom.validation.untrusted_bytes import decode_cbor

# Ten reports a second do not reach 64 bits.
MAX_NUMBER: Final = 2**63 - 1


class RouterLoadMessage(msgspec.Struct, frozen=True, tag='report'):
    """Load report of the sender.

    Attributes:
        router: Sender.
        number: Increases with each report of the sender.
        loads: Load by service.
        wants_sum: Whether the receiver must reply with the sum over the fleet.
        fleet_time: Fleet time of the sender in seconds; 0 if unknown.
        data_centre: Data centre of the sender; empty if unknown.
    """

    router: VmId
    number: Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    loads: dict[ServiceId, ServiceLoad]
    wants_sum: bool = False
    fleet_time: float = 0
    data_centre: DataCentreId = DataCentreId('')


class DataCentreLoadMessage(msgspec.Struct, frozen=True, tag='part'):
    """Sum over a data centre, from one of its collectors."""

    router: VmId
    data_centre: DataCentreId
    part: LoadSum
    fleet_time: float = 0


class FleetLoadMessage(msgspec.Struct, frozen=True, tag='sum'):
    """Sum over the fleet, from a collector to the routers that report to it.

    Attributes:
        heard: Seconds since the collector heard from each data centre.
    """

    router: VmId
    total: LoadSum
    fleet_time: float = 0
    heard: dict[DataCentreId, float] = {}


class TopicUpdateMessage(msgspec.Struct, frozen=True, tag='news'):
    """State of store topics, from a collector to its members."""

    router: VmId
    topics: dict[StoreTopic, TopicUpdate]


LoadMessage = (
    RouterLoadMessage
    | DataCentreLoadMessage
    | FleetLoadMessage
    | TopicUpdateMessage
    | FactsMessage
    | DutyNoticesMessage
    | WindowCountsMessage
    | WindowReceiptMessage
)
# CBOR encodes bytes natively; by default msgspec converts them to base64.
NATIVE_TYPES: Final = (bytes,)


def encode_message(message: LoadMessage) -> bytes:
    """Return the content of a datagram."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=NATIVE_TYPES))


def decode_message(content: bytes) -> Result[LoadMessage, Failure]:
    """Decode a datagram from any sender; PROTOCOL_ERROR if it is invalid."""
    return decode_cbor(content, LoadMessage, NATIVE_TYPES).bind(check_loads)


def check_loads(message: LoadMessage) -> Result[LoadMessage, Failure]:
    """Return a message whose loads are valid, else PROTOCOL_ERROR."""
    is_valid = True
    if isinstance(message, RouterLoadMessage):
        is_valid = all(load.is_valid for load in message.loads.values())
    elif isinstance(message, DataCentreLoadMessage):
        is_valid = message.part.is_valid
    elif isinstance(message, FleetLoadMessage):
        is_valid = message.total.is_valid
    if is_valid:
        return Ok(message)
    detail = 'a load is not a number or out of range'
    return Error(Failure(ErrorKind.PROTOCOL_ERROR, detail))
