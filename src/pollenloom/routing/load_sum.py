"""Sums of the loads of several routers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from pollenloom.core.ids import ServiceId, VmId
from pollenloom.routing.service_load import ServiceLoad, add_loads

# Fleets of some hundred routers are planned.
MAX_ROUTERS: Final = 65_536


@dataclass(frozen=True, slots=True)
class LoadSum:
    """Sum over the routers of a data centre or of the fleet.

    Attributes:
        routers: Number of routers that the sum covers.
        numbers: By router of the collector's data centre, the number of its
            report that the sum contains.
        loads: Load by service.
    """

    routers: int
    numbers: Mapping[VmId, int] = field(default_factory=dict)
    loads: Mapping[ServiceId, ServiceLoad] = field(default_factory=dict)

    @property
    def is_valid(self) -> bool:
        """Whether all numbers are such that routers can compute with them."""
        return 0 <= self.routers <= MAX_ROUTERS and all(
            load.is_valid for load in self.loads.values()
        )


def add_sums(local: LoadSum, remote: Iterable[LoadSum]) -> LoadSum:
    """Add the sums of other data centres to that of the local one.

    Report numbers are those of the local sum.
    """
    parts = (local, *remote)
    return LoadSum(
        routers=sum(part.routers for part in parts),
        numbers=local.numbers,
        loads=add_by_service(part.loads for part in parts),
    )


def add_by_service(
    parts: Iterable[Mapping[ServiceId, ServiceLoad]],
) -> dict[ServiceId, ServiceLoad]:
    """Add up loads service by service."""
    by_service: dict[ServiceId, list[ServiceLoad]] = {}
    for part in parts:
        for service, load in part.items():
            by_service.setdefault(service, []).append(load)
    return {name: add_loads(loads) for name, loads in by_service.items()}
