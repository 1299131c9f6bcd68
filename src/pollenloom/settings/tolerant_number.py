"""Numbers of the platform's settings that are used also if they are unusual."""

from dataclasses import dataclass
from math import isfinite
from typing import Any

from pydantic import ValidationInfo


@dataclass(frozen=True, slots=True)
class TolerantNumber:
    """Reads a number that must not keep a router from starting.

    The platform fills in its figures, and a whole fleet gets the same ones. A
    figure that is missing or no number is replaced by the default, and one
    that is out of range by the nearest bound.

    Attributes:
        default: Value without a usable number.
        lowest: Smallest value.
        highest: Largest value.
    """

    default: float
    lowest: float
    highest: float

    def validate(self, found: Any, context: ValidationInfo) -> float:
        """Return the value to use, as a validator of pydantic.

        Adds a line to the list in the context of the validation if the value
        is not the one that was found.

        Args:
            found: A value, or a list with at most one, which is empty if the
                platform has no such figure.
            context: Name of the field and list of warnings, if there is one.
        """
        is_filled_in = isinstance(found, list) and len(found) <= 1
        entries = found if is_filled_in else [found]
        number = entries[0] if entries else None
        used = self.nearest(number)
        warnings = context.context
        # True equals 1, which may be the default that replaces it.
        is_replaced = isinstance(number, bool) or used != number
        if warnings is not None and is_replaced:
            warnings.append(
                f'{context.field_name}: found {number}, used {used}'
            )
        return used

    def nearest(self, number: object) -> float:
        """Return the allowed value next to a number, or the default."""
        if isinstance(number, bool) or not isinstance(number, (int, float)):
            return self.default
        if not isfinite(number):
            return self.default
        return min(self.highest, max(self.lowest, number))
