"""Class of a request by the share of its client account."""

from enum import Enum


class ShareClass(Enum):
    """Whether a request is within the share of its account.

    Attributes:
        WITHIN: It is within the share and waits for room.
        SURPLUS: It is beyond the share and may only use idle room.
        BEYOND: The account asks for so much that it is refused at once.
    """

    WITHIN = 'within'
    SURPLUS = 'surplus'
    BEYOND = 'beyond'
