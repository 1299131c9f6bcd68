"""Peer message of the counter exchange baseline."""

from pollenloom.admission.messages import MessagePart
from pollenloom.core.ids import AccountId, ServerId, ServiceId
from pollenloom.peers.peer_message import PeerMessage


class AccountCounter(MessagePart, frozen=True):
    """Cost that a router has served for an account since its start."""

    account: AccountId
    served: float


class ServerCounter(MessagePart, frozen=True):
    """Requests that a router has in flight on a server."""

    server: ServerId
    in_flight: int


class RouterCounters(PeerMessage, frozen=True):
    """Counters of one service on one router.

    Attributes:
        service: Service that the counters belong to.
        stream: Identifies one run of the router process.
        accounts: Served cost by account.
        servers: Load by server.
    """

    service: ServiceId
    stream: int
    accounts: tuple[AccountCounter, ...] = ()
    servers: tuple[ServerCounter, ...] = ()
