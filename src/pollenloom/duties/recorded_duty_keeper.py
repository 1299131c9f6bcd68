"""Interface of a keeper whose holders leave notes to their successors."""

from abc import abstractmethod
from typing import TYPE_CHECKING

from pollenloom.duties.duty_keeper import DutyKeeper

if TYPE_CHECKING:
    from expression import Result

    from pollenloom.core.failure import Failure
    from pollenloom.core.ids import FencingNumber
    from pollenloom.duties.duty import Duty
    from pollenloom.duties.duty_notes import DutyNotes
    from pollenloom.duties.duty_proof import DutyProof
    from pollenloom.duties.duty_status import DutyStatus


class RecordedDutyKeeper(DutyKeeper):
    """Keeper that writes notes under the lease of a duty."""

    @abstractmethod
    def notes(self, proof: 'DutyProof') -> 'DutyNotes | None':
        """Return the notes at the beginning of the hold that is proved."""

    @abstractmethod
    async def save(
        self, proof: 'DutyProof', notes: str
    ) -> 'Result[None, Failure]':
        """Write notes under the lease; a successor finds them.

        Errors:
            NOT_OWNER: The hold has ended before the notes were written. They
                may be written nevertheless.
        """

    @abstractmethod
    def update(self, proof: 'DutyProof', notes: str) -> None:
        """Let the next renewal write notes; nothing waits for them."""

    @abstractmethod
    def last_number(self, duty: 'Duty') -> 'FencingNumber':
        """Return the number of the holder that was last heard; 0 for none."""

    @abstractmethod
    def give_up(self, duty: 'Duty') -> bool:
        """Give a duty up; return whether this router held it.

        It does not claim it again for some seconds, so that another one can.
        """

    @abstractmethod
    def statuses(self, now: float) -> 'tuple[DutyStatus, ...]':
        """Return who holds each duty, as known here at a monotonic time."""
