"""Notes that the holders of a duty leave to their successors."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import FencingNumber


@unique
class NotesOrigin(Enum):
    """How a holder came to its notes.

    Attributes:
        OWN: It holds the duty on, under a new number.
        PREDECESSOR: From the record that its claim followed.
        NO_HOLDER: The topic never had a record since this process started.
        UNKNOWN: The store came back from an older copy, or the record is not
            valid: what earlier holders did is not known.
    """

    OWN = 'own'
    PREDECESSOR = 'predecessor'
    NO_HOLDER = 'no_holder'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class DutyNotes:
    """Notes at the beginning of a hold.

    Attributes:
        number: Fencing number of the hold.
        text: The notes; empty if there are none.
        origin: Where they come from.
        continued: Number of the hold that goes on under this one; 0 if it is
            not that of this process.
    """

    number: 'FencingNumber'
    text: str
    origin: NotesOrigin
    continued: 'FencingNumber'
