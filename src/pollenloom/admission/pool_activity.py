"""Counts of what admission to one service decided within a period."""

from dataclasses import dataclass, field

from pollenloom.admission.account_activities import AccountActivities
from pollenloom.admission.placement import Placement


@dataclass(slots=True)
class PoolActivity:
    """Counts since the latest record in the event log.

    Attributes:
        sent: Requests that were sent.
        refused: Requests that were refused at once.
        timed_out: Requests that were refused after they had waited.
        beyond_share: Requests that were refused because their account was
            beyond its share.
        held_back: Choices in which a request beyond the share of its account
            found no idle room.
        without_room: Choices in which no waiting request had a server with
            room.
        preferred: Requests that were sent to a server which probably has
            their prefix cached.
        elsewhere: Requests that were sent to another data centre.
        elsewhere_preferred: Those of them that went there for their prefix.
        accounts: What the client accounts asked and got.
    """

    sent: int = 0
    refused: int = 0
    timed_out: int = 0
    beyond_share: int = 0
    held_back: int = 0
    without_room: int = 0
    preferred: int = 0
    elsewhere: int = 0
    elsewhere_preferred: int = 0
    accounts: AccountActivities = field(default_factory=AccountActivities)

    def record_placement(self, placement: Placement) -> None:
        """Count a request that is sent."""
        self.sent += 1
        self.preferred += placement.is_preferred
        self.elsewhere += placement.is_elsewhere
        self.elsewhere_preferred += (
            placement.is_elsewhere and placement.is_preferred
        )

    @property
    def has_shortage(self) -> bool:
        """Whether a request was refused or had to wait."""
        return any(
            (
                self.refused,
                self.timed_out,
                self.beyond_share,
                self.held_back,
                self.without_room,
            )
        )
