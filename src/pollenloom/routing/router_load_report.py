"""Load report of one router."""

from collections.abc import Mapping
from dataclasses import dataclass

from pollenloom.core.ids import ServiceId
from pollenloom.routing.service_load import ServiceLoad


@dataclass(frozen=True, slots=True)
class RouterLoadReport:
    """Load of one router at one moment.

    Attributes:
        number: Increases with each report of the router.
        received_at: Time of receipt, monotonic seconds of the receiver.
        loads: Load by service.
    """

    number: int
    received_at: float
    loads: Mapping[ServiceId, ServiceLoad]
