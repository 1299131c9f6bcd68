"""What one router tells of its load."""

from collections.abc import Mapping
from dataclasses import dataclass

from pollenloom.core.ids import ServiceId
from pollenloom.routing.service_load import ServiceLoad


@dataclass(frozen=True, slots=True)
class RouterLoadReport:
    """Report of one router.

    Attributes:
        number: Grows with each report of the router.
        received_at: Monotonic seconds of the hearer.
    """

    number: int
    received_at: float
    loads: Mapping[ServiceId, ServiceLoad]
