"""Settings of a router on the users' platform, read from its TOML file."""

from pydantic import Field

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.settings.router_settings import (
    ADDRESS_PATTERN,
    SettingsSection,
)


class StoreSettings(SettingsSection):
    """Connection to the platform's store.

    Attributes:
        address: `host:port`.
        timeout_seconds: Time limit for one call, in addition to the time that
            the call asks the store to wait.
    """

    address: str = Field(pattern=ADDRESS_PATTERN)
    timeout_seconds: float = Field(default=1, gt=0, le=60)


class ListenSettings(SettingsSection):
    """Addresses to listen on, each `host:port`.

    Attributes:
        callers: For requests of callers.
        readiness: For readiness checks of the platform's balancer.
        metrics: For metrics and status.
        peers: For load reports of other routers, as datagrams.
    """

    callers: str = Field(pattern=ADDRESS_PATTERN)
    readiness: str = Field(pattern=ADDRESS_PATTERN)
    metrics: str = Field(pattern=ADDRESS_PATTERN)
    peers: str = Field(pattern=ADDRESS_PATTERN)


class BoundSettings(SettingsSection):
    """Limits that the operators guarantee.

    Attributes:
        stop_seconds: Longest time from SIGTERM to the end of the process.
        retry_ratio: Largest ratio of retries to requests of a service.
        retry_reserve: Retries allowed in addition to that ratio, in the whole
            fleet and one window.
        retry_window_seconds: Length of that window.
        trial_share: Largest share of the requests for a service that a new
            version may get before it is proven good.
    """

    stop_seconds: float = Field(default=8, gt=0, le=600)
    retry_ratio: float = Field(default=0.2, ge=0, le=1)
    retry_reserve: int = Field(default=50, ge=0)
    retry_window_seconds: int = Field(default=10, ge=1, le=600)
    trial_share: float = Field(default=0.1, ge=0, le=1)


class MachineSettings(SettingsSection):
    """Processor power of the VM; larger VMs take more of the shared work.

    Attributes:
        processor_share: Processors that this process may use; 0.5 is half of
            one.
        processor_speed: Speed of a processor relative to a common one.
    """

    processor_share: float = Field(default=1, gt=0, le=1024)
    processor_speed: float = Field(default=1, gt=0, le=1024)

    @property
    def capacity(self) -> float:
        """Processor power, in processors of the common speed."""
        return self.processor_share * self.processor_speed


class NodeSettings(SettingsSection):
    """All settings of a router on the users' platform.

    Attributes:
        vm: Id of this router, unique in the fleet.
        data_centre: Data centre that it runs in.
        listen: Addresses of this router.
        store: The platform's store.
        bounds: Limits that the operators guarantee.
        machine: Processor power of the VM.
    """

    vm: VmId
    data_centre: DataCentreId
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings
    machine: MachineSettings = Field(default_factory=MachineSettings)
