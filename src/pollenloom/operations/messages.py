"""Messages between routers for the operators' server."""

from pollenloom.core.ids import DataCentreId
from pollenloom.core.states import DataCentreState
from pollenloom.operations.event_entry import EventEntry
from pollenloom.operations.router_status import RouterStatus
from pollenloom.peers.peer_message import PeerMessage


class StatusRequest(PeerMessage, frozen=True):
    """Asks a router for its part of the status."""


class StatusReply(PeerMessage, frozen=True):
    """The part of one router."""

    status: RouterStatus


class EventsRequest(PeerMessage, frozen=True):
    """Asks a router for its event records of one subject."""

    subject: str


class EventsReply(PeerMessage, frozen=True):
    """The latest event records of one router, oldest first."""

    events: tuple[EventEntry, ...]


class DataCentreStateRequest(PeerMessage, frozen=True):
    """Asks whether a router has a state of a data centre.

    The router answers when it has it, at the latest after `wait_seconds`.
    """

    data_centre: DataCentreId
    state: DataCentreState
    wait_seconds: float


class DataCentreStateReply(PeerMessage, frozen=True):
    """Whether the router has that state."""

    reached: bool
