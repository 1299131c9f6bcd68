"""Proof that this router holds a duty."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import FencingNumber, VmId
    from pollenloom.duties.duty import Duty


@dataclass(frozen=True, slots=True)
class DutyProof:
    """Proof of a duty for one call.

    Attributes:
        duty: The duty.
        holder: Router that holds it.
        number: Fencing number; rises whenever the holder changes.
        valid_until: Monotonic time in seconds at which the proof ends; a call
            that is still open then has to be aborted.
    """

    duty: 'Duty'
    holder: 'VmId'
    number: 'FencingNumber'
    valid_until: float
