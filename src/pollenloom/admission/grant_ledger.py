"""Grants in use, as the pool owner records them."""

from dataclasses import dataclass

from pollenloom.core.ids import AccountId, GrantId, ServerId, VmId

# Exceeds the longest deadline of a request. Frees the slots of a router that
# stays alive but never settles its grants.
MAX_USE_SECONDS = 3900.0
# Routers repeat a settlement for some seconds until it is acknowledged. A
# repetition must still find the closed grant, or its correction of the charge
# is applied twice.
RETENTION_SECONDS = 60.0


@dataclass(slots=True)
class OpenGrant:
    """A grant that has not been settled.

    Attributes:
        grant_id: Unique id.
        router: Router that holds the grant.
        account: Client account that was charged.
        server: Server whose slot it occupies.
        charged: Estimated cost that was charged.
        granted_at: When it was given or reported, monotonic seconds.
        check_at: When the holder is next asked whether it still uses it.
        hint: Cost hint of the request; 0 if an earlier owner gave the grant.
        epoch: Fencing number that it was given with; 0 if an earlier owner
            gave it.
    """

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
    """Open grants and the recently closed ones of one pool."""

    def __init__(self) -> None:
        self.open: dict[GrantId, OpenGrant] = {}
        self.closed: dict[GrantId, float] = {}

    def add(self, grant: OpenGrant) -> None:
        """Record a new or reported grant as open."""
        self.open[grant.grant_id] = grant

    def close(self, grant_id: GrantId, now: float) -> OpenGrant | None:
        """Close and return a grant; return None if it is not open."""
        self.closed[grant_id] = now
        return self.open.pop(grant_id, None)

    def contains(self, grant_id: GrantId) -> bool:
        """Whether a grant is open or was closed recently."""
        return grant_id in self.open or grant_id in self.closed

    def held_by(self, router: VmId) -> list[OpenGrant]:
        """Return the open grants of one router."""
        return [grant for grant in self.open.values() if grant.router == router]

    def schedule_check(self, grant_id: GrantId, now: float) -> None:
        """Make the check of a grant due now."""
        grant = self.open.get(grant_id)
        if grant is not None:
            grant.check_at = now

    def schedule_router_checks(self, router: VmId, now: float) -> None:
        """Make the checks of all grants of a router due now."""
        for grant in self.held_by(router):
            grant.check_at = now

    def schedule_all_checks(self, now: float) -> None:
        """Make the checks of all grants due now."""
        for grant in self.open.values():
            grant.check_at = now

    def expired(self, now: float) -> list[OpenGrant]:
        """Return grants that are too old to be still in use."""
        oldest = now - MAX_USE_SECONDS
        return [
            grant for grant in self.open.values() if grant.granted_at < oldest
        ]

    def take_due_checks(
        self,
        now: float,
        interval_seconds: float,
    ) -> dict[VmId, list[GrantId]]:
        """Return grants whose check is due, by router.

        Their next check becomes due after `interval_seconds`.
        """
        by_router: dict[VmId, list[GrantId]] = {}
        for grant in self.open.values():
            if grant.check_at <= now:
                grant.check_at = now + interval_seconds
                by_router.setdefault(grant.router, []).append(grant.grant_id)
        return by_router

    def prune_closed(self, now: float) -> None:
        """Remove closed grants that are past the retention time."""
        oldest = now - RETENTION_SECONDS
        # Entries are in order of closing, so that the oldest come first.
        while self.closed:
            grant_id, closed_at = next(iter(self.closed.items()))
            if closed_at > oldest:
                break
            self.closed.pop(grant_id)
