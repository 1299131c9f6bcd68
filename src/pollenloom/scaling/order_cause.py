"""Why a number of servers is ordered."""

from enum import Enum, unique


@unique
class OrderCause(Enum):
    """Reason of an order.

    Attributes:
        HOLDER_CHANGED: The router is new as the holder of the duty and repeats
            the number that it finds, since the last order of the holder before
            it may be lost.
        SHORTAGE: Demand takes more of the servers' room than it should.
        IDLE_ROOM: Servers had room for all demand for some time.
        EVEN_PARTS: With idle room elsewhere, a data centre had less than its
            part or than the smallest number.
    """

    HOLDER_CHANGED = 'holder_changed'
    SHORTAGE = 'shortage'
    IDLE_ROOM = 'idle_room'
    EVEN_PARTS = 'even_parts'
