"""Recent settlements, for replies to an owner's checks."""

from typing import Final

from pollenloom.admission.messages import SettledGrant
from pollenloom.core.ids import AccountId, GrantId, ServerId
from pollenloom.core.states import Outcome

# Owners check a grant within seconds after a message about it was lost.
RETENTION_SECONDS: Final = 60.0


class SettledGrants:
    """Keeps settlements for a limited time."""

    def __init__(self) -> None:
        self.settled: dict[GrantId, tuple[float, SettledGrant]] = {}

    def add(self, settled: SettledGrant, now: float) -> None:
        """Add a settlement."""
        self.settled[settled.grant_id] = (now, settled)

    def find(self, grant_id: GrantId) -> SettledGrant:
        """Return the settlement of a grant.

        An unknown grant never reached this router: it was not used.
        """
        known = self.settled.get(grant_id)
        if known is not None:
            return known[1]
        return SettledGrant(
            grant_id=grant_id,
            account=AccountId(''),
            server=ServerId(''),
            outcome=Outcome.UNUSED,
            charged=0,
        )

    def remove_expired(self, now: float) -> None:
        """Remove settlements that are past the retention time."""
        oldest = now - RETENTION_SECONDS
        # Entries are in order of time, so that the oldest come first.
        while self.settled:
            grant_id, known = next(iter(self.settled.items()))
            if known[0] > oldest:
                break
            self.settled.pop(grant_id)
