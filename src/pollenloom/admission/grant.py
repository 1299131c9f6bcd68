"""Permission to send one request to one backend server."""

from dataclasses import dataclass

from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import AccountId, GrantId, PoolId, RouteId


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Permission by a pool owner to send one request.

    Attributes:
        grant_id: Unique id.
        pool: Pool whose owner gave the grant.
        account: Client account that was charged.
        route: Route of the request.
        server: Backend server that the request must go to.
        epoch: Fencing number of the pool owner.
        expires_at: Time by which the request must have been sent, monotonic
            seconds of the holder.
        charged: Estimated cost that the account was charged for the grant.
    """

    grant_id: GrantId
    pool: PoolId
    account: AccountId
    route: RouteId
    server: BackendServer
    epoch: int
    expires_at: float
    charged: float

    def is_expired(self, now: float) -> bool:
        """Whether the request may no longer be sent at `now`."""
        return now >= self.expires_at
