"""Counts of what admission to one service decided within a period."""

from dataclasses import dataclass, field

from pollenloom.admission.account_activities import AccountActivities


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
        accounts: What the client accounts asked and got.
    """

    sent: int = 0
    refused: int = 0
    timed_out: int = 0
    beyond_share: int = 0
    held_back: int = 0
    without_room: int = 0
    accounts: AccountActivities = field(default_factory=AccountActivities)

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
