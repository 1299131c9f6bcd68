"""Settlements of the recent past, to answer an owner's check."""

from typing import Final

from pollenloom.admission.messages import SettledGrant
from pollenloom.core.ids import AccountId, GrantId, ServerId
from pollenloom.core.states import Outcome

# Owners check a grant within seconds after its message was lost.
RETENTION_SECONDS: Final = 60.0


class SettledGrants:
    """Remembers how grants ended for a limited time."""

    def __init__(self) -> None:
        self.settled: dict[GrantId, tuple[float, SettledGrant]] = {}

    def add(self, settled: SettledGrant, now: float) -> None:
        """Remember a settlement."""
        self.settled[settled.grant_id] = (now, settled)

    def find(self, grant_id: GrantId) -> SettledGrant:
        """Return the settlement of a grant; one never seen was unused."""
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

    def forget(self, now: float) -> None:
        """Drop settlements that no owner asks for any more."""
        oldest = now - RETENTION_SECONDS
        # They are in order of time.
        while self.settled:
            grant_id, known = next(iter(self.settled.items()))
            if known[0] > oldest:
                break
            self.settled.pop(grant_id)
