"""Routers and backend servers that make up a fleet."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from pollenloom.core.ids import DataCentreId, ServiceId, VersionId, VmId
from pollenloom.core.states import Resource

FIRST_VERSION: Final = VersionId('v1')


@dataclass(frozen=True, kw_only=True)
class BackendPlan:
    """One backend server.

    Attributes:
        vm: Id of its VM.
        service: Service that it runs.
        resource: Whether it is a model engine or an application.
        data_centre: Data centre of the VM.
        version: Version of the service.
        slots: Concurrent requests that it can handle when warm.
        cold_slots: Concurrent requests that it can handle when cold.
        options: Further options of the stand-in's command.
    """

    vm: VmId
    service: ServiceId
    resource: Resource
    data_centre: DataCentreId
    version: VersionId = FIRST_VERSION
    slots: int = 8
    cold_slots: int = 2
    options: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class RouterPlan:
    """One router.

    Attributes:
        vm: Id of its VM.
        data_centre: Data centre of the VM.
        host: IP address that it listens on.
        sections: TOML text added to its settings file.
        peers: Address that it listens on for peers; if empty, a port of
            `host` that the system chooses.
        advertise: Address that peers connect to; if empty, the one that it
            listens on.
    """

    vm: VmId
    data_centre: DataCentreId
    host: str
    sections: str = ''
    peers: str = ''
    advertise: str = ''


@dataclass(frozen=True, kw_only=True)
class FleetPlan:
    """Routers, backend servers and configuration of a fleet.

    Attributes:
        routers: Its routers; the others join through the first one.
        backends: Its backend servers.
        directories: Directories with the service files to publish.
        platform_options: Options of the platform stand-in's command.
    """

    routers: tuple[RouterPlan, ...]
    backends: tuple[BackendPlan, ...]
    directories: tuple[Path, ...]
    platform_options: tuple[str, ...] = field(default=())
