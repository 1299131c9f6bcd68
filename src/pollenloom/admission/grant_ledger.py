"""Grants in use, counted for each server."""

from dataclasses import dataclass

from pollenloom.core.ids import AccountId, GrantId, ServerId, VmId

# Longer than the longest deadline of a request: the last resort against a
# holder that neither settles nor dies.
MAX_USE_SECONDS = 3900.0
# Settlements are repeated for some seconds; a second one must find the first.
RETENTION_SECONDS = 60.0


@dataclass(slots=True)
class OpenGrant:
    """A grant that was not settled yet."""

    grant_id: GrantId
    router: VmId
    account: AccountId
    server: ServerId
    charged: float
    granted_at: float
    check_at: float
    hint: float = 0
    epoch: int = 0


class GrantLedger:
    """Open grants and the recently closed ones of one pool owner."""

    def __init__(self) -> None:
        self.open: dict[GrantId, OpenGrant] = {}
        self.closed: dict[GrantId, float] = {}

    def add(self, grant: OpenGrant) -> None:
        """Count a new or reported grant."""
        self.open[grant.grant_id] = grant

    def close(self, grant_id: GrantId, now: float) -> OpenGrant | None:
        """Close a grant; a repeated call finds nothing."""
        self.closed[grant_id] = now
        return self.open.pop(grant_id, None)

    def contains(self, grant_id: GrantId) -> bool:
        """Whether a grant is open or was closed recently."""
        return grant_id in self.open or grant_id in self.closed

    def held_by(self, router: VmId) -> list[OpenGrant]:
        """Open grants that one router holds."""
        return [grant for grant in self.open.values() if grant.router == router]

    def schedule_check(self, grant_id: GrantId, now: float) -> None:
        """Ask about a grant, and soon."""
        grant = self.open.get(grant_id)
        if grant is not None:
            grant.check_at = now

    def schedule_router_checks(self, router: VmId, now: float) -> None:
        """Ask about all grants of a router, and soon."""
        for grant in self.held_by(router):
            grant.check_at = now

    def schedule_all_checks(self, now: float) -> None:
        """Ask about all grants, and soon."""
        for grant in self.open.values():
            grant.check_at = now

    def expired(self, now: float) -> list[OpenGrant]:
        """Grants that no request can still be using."""
        oldest = now - MAX_USE_SECONDS
        return [
            grant for grant in self.open.values() if grant.granted_at < oldest
        ]

    def take_due_checks(
        self,
        now: float,
        interval_seconds: float,
    ) -> dict[VmId, list[GrantId]]:
        """Grants whose holders are to be asked now, by router."""
        by_router: dict[VmId, list[GrantId]] = {}
        for grant in self.open.values():
            if grant.check_at <= now:
                grant.check_at = now + interval_seconds
                by_router.setdefault(grant.router, []).append(grant.grant_id)
        return by_router

    def remove_expired(self, now: float) -> None:
        """Drop closed grants that nobody reports any more."""
        oldest = now - RETENTION_SECONDS
        # Closed in order of time, so that the old ones come first.
        while self.closed:
            grant_id, closed_at = next(iter(self.closed.items()))
            if closed_at > oldest:
                break
            self.closed.pop(grant_id)
