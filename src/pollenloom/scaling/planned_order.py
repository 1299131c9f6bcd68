"""An order of servers with its reason."""

from dataclasses import dataclass

from pollenloom.scaling.order_cause import OrderCause
from pollenloom.scaling.server_order import ServerOrder


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """Order that a plan decided on.

    Attributes:
        order: The order.
        cause: Why it is given.
        before: Number ordered, or found, before it.
        wanted: Servers in all data centres that demand asks for.
    """

    order: ServerOrder
    cause: OrderCause
    before: int
    wanted: float
