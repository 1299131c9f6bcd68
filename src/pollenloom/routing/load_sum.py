"""Loads of several routers, added up."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from pollenloom.core.ids import ServiceId, VmId
from pollenloom.routing.service_load import ServiceLoad, add_loads


@dataclass(frozen=True, slots=True)
class LoadSum:
    """Sum over the routers of a data centre or of the fleet.

    Attributes:
        routers: How many routers it covers.
        numbers: Number of the report that it holds of each router of the
            collector's own data centre.
        loads: By service.
    """

    routers: int
    numbers: Mapping[VmId, int] = field(default_factory=dict)
    loads: Mapping[ServiceId, ServiceLoad] = field(default_factory=dict)


def add_sums(own: LoadSum, others: Iterable[LoadSum]) -> LoadSum:
    """Add the sums of other data centres to that of the own one."""
    parts = (own, *others)
    return LoadSum(
        routers=sum(part.routers for part in parts),
        numbers=own.numbers,
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
