"""Settings of a router on the users' machines, read from its TOML file."""

from pydantic import Field

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.settings.router_settings import (
    ADDRESS_PATTERN,
    SettingsSection,
)


class StoreSettings(SettingsSection):
    """Where the platform's store is.

    Attributes:
        address: `host:port`.
        timeout_seconds: Limit for one call, beside the time that the call
            asks the store to wait.
    """

    address: str = Field(pattern=ADDRESS_PATTERN)
    timeout_seconds: float = Field(default=1, gt=0, le=60)


class ListenSettings(SettingsSection):
    """Addresses to listen on, each `host:port`.

    Attributes:
        callers: Where callers send requests.
        readiness: Where the platform's balancer asks for readiness.
        metrics: Where metrics and status are served.
        peers: Where other routers tell of their load, by datagrams.
    """

    callers: str = Field(pattern=ADDRESS_PATTERN)
    readiness: str = Field(pattern=ADDRESS_PATTERN)
    metrics: str = Field(pattern=ADDRESS_PATTERN)
    peers: str = Field(pattern=ADDRESS_PATTERN)


class BoundSettings(SettingsSection):
    """Times in seconds and shares that the operators promise.

    Attributes:
        stop_seconds: Time from SIGTERM to the end of the process.
        retry_ratio: Requests sent again, as a part of all of a service.
        retry_reserve: Requests that may be sent again beside that part, over
            the fleet and a window.
        retry_window_seconds: Length of that window.
    """

    stop_seconds: float = Field(default=8, gt=0, le=600)
    retry_ratio: float = Field(default=0.2, ge=0, le=1)
    retry_reserve: int = Field(default=50, ge=0)
    retry_window_seconds: int = Field(default=10, ge=1, le=600)


class MachineSettings(SettingsSection):
    """What the machine has; larger ones take more of the common duties.

    Attributes:
        processor_share: Part of a processor that this process may use.
        processor_speed: Speed of that processor against a common one.
    """

    processor_share: float = Field(default=1, gt=0, le=1024)
    processor_speed: float = Field(default=1, gt=0, le=1024)

    @property
    def capacity(self) -> float:
        """Processor power in cores of a common speed."""
        return self.processor_share * self.processor_speed


class NodeSettings(SettingsSection):
    """All settings of a router on the users' machines.

    Attributes:
        vm: Id of this router, unique in the fleet.
        data_centre: Where it runs.
        listen: Addresses of this router.
        store: The platform's store.
        bounds: Promises of the operators.
        machine: What the machine has.
    """

    vm: VmId
    data_centre: DataCentreId
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings
    machine: MachineSettings = Field(default_factory=MachineSettings)
