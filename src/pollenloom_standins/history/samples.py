"""Reports of stand-ins and routers during a round."""

import msgspec

from pollenloom.core.ids import DataCentreId, ServiceId, VmId
from pollenloom_standins.application.order_list import OrderRunRecord
from pollenloom_standins.backend.run_history import RunRecord


class ServerRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run on a backend server."""

    server: VmId
    service: ServiceId
    data_centre: DataCentreId
    run: RunRecord


class OrderRun(msgspec.Struct, frozen=True, kw_only=True):
    """An order that an application server ran."""

    server: VmId
    order: OrderRunRecord


class ServerSample(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of a backend server since its start.

    Attributes:
        server: The server.
        start: Number of its start in the round.
        at: Wall time.
        cold_slots: Concurrent requests that it can handle when cold.
        cold_overloads: Requests above the cold slots that were not refused.
        peak_running_cold: Most requests in progress when one began while
            the server was cold.
        refused_leaving: Requests refused because it is leaving.
    """

    server: VmId
    start: int
    at: float
    cold_slots: int
    cold_overloads: int
    peak_running_cold: int
    refused_leaving: int


class RevisionSample(msgspec.Struct, frozen=True, kw_only=True):
    """Revision of the configuration that a router had in force.

    Attributes:
        vm: The router.
        start: Number of its start in the round.
        running_since: Wall time at which this start was ready.
        asked_at: Wall time just before the status request.
        revision: Revision in the response.
    """

    vm: VmId
    start: int
    running_since: float
    asked_at: float
    revision: int


class ConfirmedPublish(msgspec.Struct, frozen=True, kw_only=True):
    """A publish that was confirmed to its operator.

    Attributes:
        publisher: Name of the operator.
        revision: Revision of the configuration.
        told_at: Wall time of the confirmation.
    """

    publisher: str
    revision: int
    told_at: float
