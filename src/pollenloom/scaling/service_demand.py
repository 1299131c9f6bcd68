"""Demand for a service, measured by the load reports of the fleet."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from pollenloom.core.ids import DataCentreId, ServiceId
from pollenloom.routing.send_window import bounded_window
from pollenloom.routing.server_directory import KnownServer
from pollenloom.routing.service_load import ServiceLoad


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Demand for a service, and the servers that are there for it.

    Attributes:
        servers: Usable servers by data centre.
        busy: Servers that demand would fill, with the demand that was refused.
        is_complete: Whether the reports cover nearly all routers.
    """

    servers: Mapping[DataCentreId, int]
    busy: float
    is_complete: bool


def measure_demand(
    service: ServiceId,
    load: ServiceLoad,
    usable: Iterable[KnownServer],
    *,
    is_complete: bool,
) -> ServiceDemand:
    """Return the demand for a service.

    Args:
        service: The service.
        load: Its load over the fleet.
        usable: Its servers that may receive requests.
        is_complete: Whether the load covers nearly all routers.
    """
    servers = tuple(usable)
    taken = taken_room(service, load, servers)
    return ServiceDemand(
        servers=Counter(known.entry.data_centre for known in servers),
        busy=len(servers) * taken * (1 + refused_share(load)),
        is_complete=is_complete,
    )


def taken_room(
    service: ServiceId, load: ServiceLoad, servers: tuple[KnownServer, ...]
) -> float:
    """Return the part of the servers' room that is taken, 0 to 1.

    Room are slots, and the unread tokens that the mean window of the fleet
    allows. A prompt may exceed a window, so the part is bounded.
    """
    if not servers:
        return 0
    ids = [known.entry.server for known in servers]
    running = sum(load.running.get(server, 0) for server in ids)
    slots = sum(known.entry.slots for known in servers)
    unread = sum(load.unread.get(server, 0) for server in ids)
    weight = load.window_weights.get(service, 0)
    if not weight:
        return min(1, running / slots)
    window = bounded_window(load.windows.get(service, 0) / weight)
    return min(1, max(running / slots, unread / (window * len(servers))))


def refused_share(load: ServiceLoad) -> float:
    """Return the refused cost as a share of the cost that was sent, 0 to 1.

    Callers repeat refused requests, and each repeat is refused cost again, so
    it counts at most like what was sent.
    """
    refused = sum(load.refused.values())
    if not refused:
        return 0
    sent = sum(load.usage.values())
    return refused / max(sent, refused)
