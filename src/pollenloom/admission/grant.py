"""Permission to send one request to one backend server."""

from dataclasses import dataclass

from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import AccountId, GrantId, PoolId, RouteId


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Permission of a pool owner, valid for one request.

    Attributes:
        grant_id: Unique id.
        pool: Pool whose owner gave it.
        account: Client account that was charged.
        route: Route that the request was announced with.
        server: Backend server that the request must go to.
        epoch: Fencing number of the pool owner.
        expires_at: Monotonic time of the holder, in seconds; the request
            must have been sent before.
        charged: Estimated cost charged at the grant.
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
