"""Status of a duty for operators."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import FencingNumber, VmId
    from pollenloom.duties.duty import Duty


@dataclass(frozen=True, slots=True)
class DutyStatus:
    """A duty as one router knows it.

    Attributes:
        duty: The duty.
        holder: Router that was last heard to hold it; None if unknown.
        number: Its fencing number; 0 if unknown.
        is_local: Whether it is this router, which can prove it now.
        held_seconds: How long this router has held it; 0 for other holders.
    """

    duty: 'Duty'
    holder: 'VmId | None'
    number: 'FencingNumber'
    is_local: bool
    held_seconds: float
