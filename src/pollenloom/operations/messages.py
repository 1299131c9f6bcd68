"""Peer messages of the operators' server."""

from pollenloom.core.ids import DataCentreId
from pollenloom.core.states import DataCentreState
from pollenloom.operations.event_entry import EventEntry
from pollenloom.operations.router_status import RouterStatus
from pollenloom.peers.peer_message import PeerMessage


class StatusRequest(PeerMessage, frozen=True):
    """Asks a router for its status."""


class StatusReply(PeerMessage, frozen=True):
    """Status of one router."""

    status: RouterStatus


class EventsRequest(PeerMessage, frozen=True):
    """Asks a router for its event records of a subject."""

    subject: str


class EventsReply(PeerMessage, frozen=True):
    """Latest event records of one router, oldest first."""

    events: tuple[EventEntry, ...]


class DataCentreStateRequest(PeerMessage, frozen=True):
    """Asks whether a router has a state of a data centre in force.

    The router replies as soon as it has, at the latest after `wait_seconds`.
    """

    data_centre: DataCentreId
    state: DataCentreState
    wait_seconds: float


class DataCentreStateReply(PeerMessage, frozen=True):
    """Whether the router has the requested state in force."""

    reached: bool
