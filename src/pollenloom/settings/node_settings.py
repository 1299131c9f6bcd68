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
# The smallest VMs have 150 MB and 4,100 descriptors.
DEFAULT_MEMORY_MEGABYTES = 150
SMALLEST_MEMORY_MEGABYTES = 64
LARGEST_MEMORY_MEGABYTES = 1_048_576
DEFAULT_DESCRIPTORS = 4100
SMALLEST_DESCRIPTORS = 400
LARGEST_DESCRIPTORS = 1_048_576
LARGEST_DUTY_MILLISECONDS = 600_000
# Leases below this would end between two writes to a slow store.
SMALLEST_LEASE_MILLISECONDS = 500
SMALLEST_WINDOW_SECONDS = 0.5
LARGEST_REPORT_SECONDS = 86_400
MAX_DUTY_NAMES = 16
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
MemoryNumber = Annotated[
    float,
    Field(ge=SMALLEST_MEMORY_MEGABYTES, le=LARGEST_MEMORY_MEGABYTES),
    BeforeValidator(
        TolerantNumber(
            DEFAULT_MEMORY_MEGABYTES,
            SMALLEST_MEMORY_MEGABYTES,
            LARGEST_MEMORY_MEGABYTES,
        ).validate
    ),
]
DescriptorNumber = Annotated[
    float,
    Field(ge=SMALLEST_DESCRIPTORS, le=LARGEST_DESCRIPTORS),
    BeforeValidator(
        TolerantNumber(
            DEFAULT_DESCRIPTORS, SMALLEST_DESCRIPTORS, LARGEST_DESCRIPTORS
        ).validate
    ),
]


LeaseMilliseconds = Annotated[
    float,
    Field(ge=SMALLEST_LEASE_MILLISECONDS, le=LARGEST_DUTY_MILLISECONDS),
    BeforeValidator(
        TolerantNumber(
            3000, SMALLEST_LEASE_MILLISECONDS, LARGEST_DUTY_MILLISECONDS
        ).validate
    ),
]
ClockMilliseconds = Annotated[
    float,
    Field(ge=0, le=LARGEST_DUTY_MILLISECONDS),
    BeforeValidator(
        TolerantNumber(6000, 0, LARGEST_DUTY_MILLISECONDS).validate
    ),
]
WindowSeconds = Annotated[
    float,
    Field(ge=SMALLEST_WINDOW_SECONDS, le=LARGEST_REPORT_SECONDS),
    BeforeValidator(
        TolerantNumber(
            5, SMALLEST_WINDOW_SECONDS, LARGEST_REPORT_SECONDS
        ).validate
    ),
]
LateSeconds = Annotated[
    float,
    Field(ge=1, le=LARGEST_REPORT_SECONDS),
    BeforeValidator(TolerantNumber(10, 1, LARGEST_REPORT_SECONDS).validate),
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
    """Power and limits of the VM; powerful VMs take more of the shared work.

    Attributes:
        processor_share: Processors that this process may use; 0.5 is half of
            one.
        processor_speed: Speed of a processor relative to a common one.
        memory_megabytes: Memory that this process may use; what it holds for
            callers follows from it at the start.
        max_descriptors: Descriptors that this process may have open; how many
            callers may be connected follows from it at the start.
    """

    processor_share: ProcessorNumber = 1
    processor_speed: ProcessorNumber = 1
    memory_megabytes: MemoryNumber = DEFAULT_MEMORY_MEGABYTES
    max_descriptors: DescriptorNumber = DEFAULT_DESCRIPTORS

    @property
    def capacity(self) -> float:
        """Processor power, in processors of the common speed."""
        return self.processor_share * self.processor_speed


class DutySettings(SettingsSection):
    """Calls to the platform that one router of the fleet makes at a time.

    Attributes:
        address: `host:port` to which the calls go.
        names: Duties that the platform knows, under its own names.
        lease_milliseconds: Shortest time within which two routers must not
            hold a duty in turns.
        clock_difference_milliseconds: Largest difference between the times of
            day of two VMs.
        window_seconds: Length of the windows in which requests are counted.
        late_seconds: Time after the end of a window at which its report is
            late.
        first_start: Whether the system starts for the first time, as a list of
            at most one value; only `[true]` is trusted.
    """

    address: str = Field(pattern=ADDRESS_PATTERN)
    names: tuple[str, ...] = Field(default=(), max_length=MAX_DUTY_NAMES)
    lease_milliseconds: LeaseMilliseconds = 3000
    clock_difference_milliseconds: ClockMilliseconds = 6000
    window_seconds: WindowSeconds = 5
    late_seconds: LateSeconds = 10
    first_start: tuple[bool, ...] = ()

    @property
    def is_first_start(self) -> bool:
        """Whether no router of the system has run before."""
        return self.first_start == (True,)


class SchedulingSettings(SettingsSection):
    """Decisions under load that a deployment switches on.

    Attributes:
        learns_costs: Whether requests are placed by learned costs of requests
            and learned speeds of backend servers.
        serves_late: Whether requests may wait past their objective.
        spreads_returns: Whether refused requests are told to return in turn,
            as room for them comes.
        prefers_own_data_centre: Whether other data centres get requests only
            for a gain in time.
    """

    learns_costs: bool = False
    serves_late: bool = False
    spreads_returns: bool = False
    prefers_own_data_centre: bool = False


class NodeSettings(SettingsSection):
    """All settings of a router on the users' platform.

    Attributes:
        vm: Id of this router, unique in the fleet.
        data_centre: Data centre that it runs in.
        listen: Addresses of this router.
        store: The platform's store.
        bounds: Limits that the operators guarantee.
        machine: Power and limits of the VM.
        machine: Processor power of the VM.
        duties: Calls that one router makes at a time; None if the platform
            has none.
        scheduling: Decisions under load that are switched on.
    """

    vm: VmId
    data_centre: DataCentreId
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings
    machine: MachineSettings = Field(default_factory=MachineSettings)
    duties: DutySettings | None = None
    scheduling: SchedulingSettings = Field(default_factory=SchedulingSettings)
