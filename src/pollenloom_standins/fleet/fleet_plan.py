"""What a fleet consists of."""

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
        data_centre: Where it is.
        version: Version of the service.
        slots: Concurrent requests that it bears when warm.
        cold_slots: Concurrent requests that it bears when cold.
        options: More options of the stand-in's command.
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
        data_centre: Where it is.
        host: IP number that it listens on.
        sections: TOML text added to its settings file.
        peers: Address that it listens on for peers; a port that the system
            chooses if empty.
        advertise: Address that peers connect to; the same if empty.
    """

    vm: VmId
    data_centre: DataCentreId
    host: str
    sections: str = ''
    peers: str = ''
    advertise: str = ''


@dataclass(frozen=True, kw_only=True)
class FleetPlan:
    """A whole fleet.

    Attributes:
        routers: Its routers; the first one is the others' seed.
        backends: Its backend servers.
        directories: Directories with the services' files.
        platform_options: Options of the platform's stand-in.
    """

    routers: tuple[RouterPlan, ...]
    backends: tuple[BackendPlan, ...]
    directories: tuple[Path, ...]
    platform_options: tuple[str, ...] = field(default=())
