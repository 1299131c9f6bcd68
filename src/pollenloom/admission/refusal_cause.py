"""Why local admission refuses a request."""

from enum import Enum, unique


@unique
class RefusalCause(Enum):
    """What a refused request lacked.

    Attributes:
        BEYOND_SHARE: Its account asks for more than its share.
        NO_ROOM: No server has room for it within the time that it may wait.
    """

    BEYOND_SHARE = 'beyond_share'
    NO_ROOM = 'no_room'
