"""How a request relates to earlier requests of its caller."""

from enum import Enum


class CallerAttempt(Enum):
    """Which attempt of its caller a request is.

    Attributes:
        FIRST: The first one, or not known.
        RETURNED: A repeat after the time that a refusal stated.
        EARLY: A repeat before that time.
    """

    FIRST = 'first'
    RETURNED = 'returned'
    EARLY = 'early'
