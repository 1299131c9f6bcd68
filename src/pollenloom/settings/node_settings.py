"""Settings of a router on the users' platform, read from its TOML file."""

from typing import Annotated

from pydantic import BeforeValidator, Field

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.settings.router_settings import (
    ADDRESS_PATTERN,
    SettingsSection,
)
from pollenloom.settings.tolerant_number import TolerantNumber

LARGEST_STOP_SECONDS = 600
LARGEST_RETRY_RESERVE = 1_000_000
LARGEST_WINDOW_SECONDS = 600
LARGEST_PROCESSOR_NUMBER = 1024
# A smaller time would leave none for requests that are being answered.
SMALLEST_STOP_SECONDS = 0.5
SMALLEST_PROCESSOR_NUMBER = 0.001

StopSeconds = Annotated[
    float,
    Field(ge=SMALLEST_STOP_SECONDS, le=LARGEST_STOP_SECONDS),
    BeforeValidator(
        TolerantNumber(8, SMALLEST_STOP_SECONDS, LARGEST_STOP_SECONDS).validate
    ),
]
RetryRatio = Annotated[
    float,
    Field(ge=0, le=1),
    BeforeValidator(TolerantNumber(0.2, 0, 1).validate),
]
# Platforms scale the reserve with the size of a deployment.
RetryReserve = Annotated[
    float,
    Field(ge=0, le=LARGEST_RETRY_RESERVE),
    BeforeValidator(TolerantNumber(50, 0, LARGEST_RETRY_RESERVE).validate),
]
RetryWindow = Annotated[
    float,
    Field(ge=1, le=LARGEST_WINDOW_SECONDS),
    BeforeValidator(TolerantNumber(10, 1, LARGEST_WINDOW_SECONDS).validate),
]
TrialShare = Annotated[
    float,
    Field(ge=0, le=1),
    BeforeValidator(TolerantNumber(0.1, 0, 1).validate),
]
ProcessorNumber = Annotated[
    float,
    Field(ge=SMALLEST_PROCESSOR_NUMBER, le=LARGEST_PROCESSOR_NUMBER),
    BeforeValidator(
        TolerantNumber(
            1, SMALLEST_PROCESSOR_NUMBER, LARGEST_PROCESSOR_NUMBER
        ).validate
    ),
]


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

    Values that are out of range are replaced by the nearest bound.

    Attributes:
        stop_seconds: Longest time from SIGTERM to the end of the process.
        retry_ratio: Largest ratio of retries to requests of a service.
        retry_reserve: Retries allowed in addition to that ratio, in the whole
            fleet and one window.
        retry_window_seconds: Length of that window.
        trial_share: Largest share of the requests for a service that a new
            version may get before it is proven good.
    """

    stop_seconds: StopSeconds = 8
    retry_ratio: RetryRatio = 0.2
    retry_reserve: RetryReserve = 50
    retry_window_seconds: RetryWindow = 10
    trial_share: TrialShare = 0.1


class MachineSettings(SettingsSection):
    """Processor power of the VM; larger VMs take more of the shared work.

    Attributes:
        processor_share: Processors that this process may use; 0.5 is half of
            one.
        processor_speed: Speed of a processor relative to a common one.
    """

    processor_share: ProcessorNumber = 1
    processor_speed: ProcessorNumber = 1

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
