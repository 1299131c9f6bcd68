"""Messages of admission between routers and pool owners.

A router and a pool owner keep one message stream for each pool. Both number
their messages, and each message acknowledges the highest number received
from the other side. From this the owner knows which of its grants a reported
demand already takes into account.
"""

import msgspec

from pollenloom.core.ids import (
    AccountId,
    GrantId,
    PoolId,
    RouteId,
    ServerId,
    ServiceId,
)
from pollenloom.core.states import Outcome
from pollenloom.peers.peer_message import PeerMessage

NO_ROUTE = RouteId('')


class MessagePart(msgspec.Struct, frozen=True, array_like=True):
    """Base of the structs inside messages."""


class WaitingHead(MessagePart, frozen=True):
    """One of the next requests of an account on a router.

    Attributes:
        hint: Cost hint of the request.
        age: Seconds for which the request has waited.
        retry: Whether the request was sent to a server before.
        prefixes: Hashes of growing prompt prefixes, longest last.
        excluded: Servers that the request must not go to.
    """

    hint: float
    age: float
    retry: bool = False
    prefixes: tuple[int, ...] = ()
    excluded: tuple[ServerId, ...] = ()


class AccountDemand(MessagePart, frozen=True):
    """All waiting requests of one account, not a change since the last message.

    Attributes:
        account: Client account.
        waiting: Number of requests that can use a grant of this pool.
        heads: The first of them, in the order in which they get grants.
    """

    account: AccountId
    waiting: int
    heads: tuple[WaitingHead, ...] = ()


class SettledGrant(MessagePart, frozen=True):
    """How one grant was used.

    Attributes:
        grant_id: Grant.
        account: Client account that was charged.
        server: Server of the grant.
        outcome: How its use ended.
        charged: Estimated cost that was charged.
        hint: Cost hint of the request that used it.
        cost: Actual cost; 0 if the request did not run.
        first_byte_seconds: Time to the first byte of the response; None if
            there was none.
        server_cold: Whether the server reported that it is cold.
        server_leaving: Whether the server reported that it is shutting down.
        unusable: Whether requests wait but none may go to the server, or
            the router does not know the server yet.
        route: Route of the request, which version moves evaluate.
        duration_seconds: Time to the end of the response; None if it did not
            end.
        server_fenced: Whether the server refused the fencing number.
    """

    grant_id: GrantId
    account: AccountId
    server: ServerId
    outcome: Outcome
    charged: float
    hint: float = 0
    cost: float = 0
    first_byte_seconds: float | None = None
    server_cold: bool = False
    server_leaving: bool = False
    route: RouteId = NO_ROUTE
    duration_seconds: float | None = None
    unusable: bool = False
    server_fenced: bool = False


class Demand(PeerMessage, frozen=True):
    """Demand and settlements of a router, sent to a pool owner.

    Attributes:
        pool: Pool.
        stream: Identifies one run of the router process; a new value means
            that it restarted and holds no earlier grants.
        sequence: Number of this message within the stream and pool.
        acknowledged: Highest number of the owner's messages received.
        missed: Whether messages of the owner were lost.
        accounts: Accounts whose demand changed.
        settled: Settled grants; repeated until acknowledged.
    """

    pool: PoolId
    stream: int
    sequence: int
    acknowledged: int
    missed: bool = False
    accounts: tuple[AccountDemand, ...] = ()
    settled: tuple[SettledGrant, ...] = ()


class GrantedSlot(MessagePart, frozen=True):
    """One grant for one account."""

    grant_id: GrantId
    account: AccountId
    server: ServerId
    charged: float


class Grants(PeerMessage, frozen=True):
    """Grants of a pool owner to one router.

    Attributes:
        pool: Pool.
        stream: Run of the router process that the message is meant for.
        epoch: Fencing number of the owner.
        sequence: Number of this message in the stream.
        acknowledged: Highest number of the router's messages received.
        slots: New grants.
        check: Ids of older grants; the router settles those that it does not
            hold.
    """

    pool: PoolId
    stream: int
    epoch: int
    sequence: int
    acknowledged: int
    slots: tuple[GrantedSlot, ...] = ()
    check: tuple[GrantId, ...] = ()


class ReportRequest(PeerMessage, frozen=True):
    """Requests a report of the grants that a router holds on some servers.

    Attributes:
        pool: Pool.
        epoch: Fencing number of the owner.
        takeover: Whether the owner takes the pool over, so that earlier
            owners are fenced off; otherwise servers or routers were added.
        servers: Servers whose grants are to be reported.
    """

    pool: PoolId
    epoch: int
    takeover: bool
    servers: tuple[ServerId, ...]


class ReportedGrant(MessagePart, frozen=True):
    """A grant in use."""

    grant_id: GrantId
    account: AccountId
    server: ServerId
    charged: float


class TakeoverReport(PeerMessage, frozen=True):
    """Reply to `ReportRequest`.

    Attributes:
        pool: Pool.
        stream: Run of the router process, as in `Demand`.
        epoch: Highest fencing number of the pool that was seen before.
        held: Grants in use on the requested servers.
    """

    pool: PoolId
    stream: int
    epoch: int
    held: tuple[ReportedGrant, ...] = ()


class NotOwner(PeerMessage, frozen=True):
    """Informs a router that the sender does not own the pool."""

    pool: PoolId


class NewerOwner(PeerMessage, frozen=True):
    """Informs an owner that the sender has accepted a newer one.

    Attributes:
        pool: Pool.
        epoch: Highest fencing number that the sender has seen.
    """

    pool: PoolId
    epoch: int


class AccountTotal(MessagePart, frozen=True):
    """Served cost of one account in one pool.

    Attributes:
        account: Client account.
        served: Cost served since the pool's first owner.
        time: Virtual time at the sender; the pool's next owner continues
            with it.
    """

    account: AccountId
    served: float
    time: float


class CounterExchange(PeerMessage, frozen=True):
    """Cumulative totals of one pool, sent to other owners of the service.

    Attributes:
        service: Service of the pool.
        pool: Pool.
        epoch: Fencing number of the pool's owner.
        floor: Smallest virtual time of the backlogged accounts, or the last
            one if there are none.
        totals: Totals of the changed accounts and of some unchanged ones.
    """

    service: ServiceId
    pool: PoolId
    epoch: int
    floor: float
    totals: tuple[AccountTotal, ...] = ()
