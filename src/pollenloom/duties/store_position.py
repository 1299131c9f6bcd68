"""Position in a topic of the store."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pollenloom.core.ids import FencingNumber, Offset, StoreEra

if TYPE_CHECKING:
    from typing import Self

# Offsets below this give rising numbers also if an era follows; one record a
# second takes 30 years to reach it. Numbers stay exact in 64-bit floats.
NUMBERS_PER_ERA: Final = 1_000_000_000


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """End of a topic as a response of the store told it.

    Attributes:
        era: Era of the store; offsets of different eras can't be compared.
        end: Offset that the next record gets.
    """

    era: StoreEra
    end: Offset

    @property
    def fencing_number(self) -> FencingNumber:
        """Number of a holder whose first record is written here.

        Only one record gets this offset in this era, and a later record has a
        higher one or belongs to a later era. The number is above 0 also in a
        store that tells no era.
        """
        return FencingNumber(self.era * NUMBERS_PER_ERA + self.end + 1)

    def after_record(self, offset: Offset) -> 'Self':
        """Return the position after a record of the same era."""
        return type(self)(self.era, Offset(offset + 1))


def era_of(number: FencingNumber) -> StoreEra:
    """Return the era in which the holder of a number wrote its claim."""
    return StoreEra(number // NUMBERS_PER_ERA)
