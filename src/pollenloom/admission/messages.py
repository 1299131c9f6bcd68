"""Messages of admission between routers and pool owners.

A router and a pool owner hold one conversation for each pool. Both number
their messages, and each message carries the highest number received from
the other side, so that the owner knows which of its grants a stated demand
already takes into account.
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
        age: Seconds for which it has waited.
        retry: Whether it was sent before.
        prefixes: Hashes of growing prompt prefixes, longest last.
        excluded: Servers that it must not go to.
    """

    hint: float
    age: float
    retry: bool = False
    prefixes: tuple[int, ...] = ()
    excluded: tuple[ServerId, ...] = ()


class AccountDemand(MessagePart, frozen=True):
    """Waiting requests of one account; state, not an increment.

    Attributes:
        account: Client account.
        waiting: Requests that would take a grant of this pool.
        heads: The first of them, in the order in which they are bound.
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
        cost: Real cost.
        first_byte_seconds: Time to the first byte of the answer.
        server_cold: Whether the server said that it is cold.
        server_leaving: Whether the server said that it is leaving.
        unusable: Whether requests wait but none may go to the server, or
            the router does not know the server yet.
        route: Route of the request, evidence for version moves.
        duration_seconds: Time to the end of the answer.
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
    """What a router waits for and what it gives back, to a pool owner.

    Attributes:
        pool: Pool.
        stream: Identifies one life of the router; a new value means that it
            restarted and holds no grants from before.
        sequence: Number of this message within the stream and pool.
        acknowledged: Highest number of the owner's messages received.
        missed: Whether messages of the owner were lost on the way.
        accounts: Accounts whose demand changed.
        settled: Grants that ended; repeated until acknowledged.
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
        stream: Life of the router that the message is meant for.
        epoch: Fencing number of the owner.
        sequence: Number of this message in the stream.
        acknowledged: Highest number of the router's messages received.
        slots: New grants.
        check: Ids of older grants; the router settles those it has not got.
    """

    pool: PoolId
    stream: int
    epoch: int
    sequence: int
    acknowledged: int
    slots: tuple[GrantedSlot, ...] = ()
    check: tuple[GrantId, ...] = ()


class ReportRequest(PeerMessage, frozen=True):
    """Asks a router for the grants that it holds on the servers of a pool.

    Attributes:
        pool: Pool.
        epoch: Fencing number of the owner.
        takeover: Whether the owner is new, so that earlier ones are fenced
            off; otherwise only servers were added.
        servers: Servers asked about.
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
    """Answer to `ReportRequest`.

    Attributes:
        pool: Pool.
        stream: Life of the router, as in `Demand`.
        epoch: Highest fencing number seen of the pool before.
        held: Grants in use on the servers asked for.
    """

    pool: PoolId
    stream: int
    epoch: int
    held: tuple[ReportedGrant, ...] = ()


class NotOwner(PeerMessage, frozen=True):
    """Tells a router that the sender does not own the pool."""

    pool: PoolId


class NewerOwner(PeerMessage, frozen=True):
    """Tells an owner that the sender follows a newer one.

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
        time: Virtual time at the sender; a successor continues with it.
    """

    account: AccountId
    served: float
    time: float


class CounterExchange(PeerMessage, frozen=True):
    """Cumulative totals of one pool, to other owners of the service.

    Attributes:
        service: Service of the pool.
        pool: Pool.
        epoch: Fencing number of the pool's owner.
        floor: Virtual time of the account that is served next.
        totals: Accounts that changed, and some that did not.
    """

    service: ServiceId
    pool: PoolId
    epoch: int
    floor: float
    totals: tuple[AccountTotal, ...] = ()
