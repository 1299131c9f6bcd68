"""Process settings of one router, read from its TOML file."""

from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from pollenloom.core.ids import DataCentreId, VmId

ADDRESS_PATTERN = r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$'


class SettingsSection(BaseModel):
    """Base class of all sections; unknown keys are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class PlatformSettings(SettingsSection):
    """Connection to the platform.

    Attributes:
        url: Base URL of the log and the VM list.
        timeout_seconds: Time limit for one call.
        poll_seconds: Time between two reads of the log by a log reader.
    """

    url: str = Field(pattern='^http://')
    timeout_seconds: float = Field(default=2, gt=0, le=60)
    poll_seconds: float = Field(default=0.5, gt=0, le=60)


class PeerSettings(SettingsSection):
    """Connections to other routers.

    Attributes:
        listen: Address to listen on.
        advertise: Address that other routers connect to; `listen` if empty.
        seeds: Addresses of routers through which this one joins the fleet.
        fleet_key_file: File with the key that all routers share.
    """

    listen: str = Field(pattern=ADDRESS_PATTERN)
    advertise: str = Field(default='', pattern=f'^$|{ADDRESS_PATTERN}')
    seeds: tuple[str, ...] = ()
    fleet_key_file: Path


class AdmissionSettings(SettingsSection):
    """Admission of requests.

    Attributes:
        policy: Admission policy.
        shard_servers: Largest number of backend servers in one pool shard.
        fair: Whether accounts are served by fair share; off only for
            comparisons.
        ramp: Whether cold backend servers get fewer requests; off only for
            comparisons.
        affinity: Whether backend servers with a cached prompt prefix are
            preferred.
        routers: Number of routers in the fleet, for static division and round
            robin.
    """

    policy: Literal[
        'allocator',
        'server_owner',
        'static_division',
        'round_robin',
        'counter_exchange',
    ] = 'allocator'
    shard_servers: int = Field(default=16, ge=1, le=1000)
    fair: bool = True
    ramp: bool = True
    affinity: bool = True
    routers: int = Field(default=8, ge=1, le=1000)


class LimitSettings(SettingsSection):
    """Limits of the callers' address.

    Attributes:
        body_bytes: Largest request body.
        header_bytes: Largest request header.
        connections: Largest number of open connections.
        request_seconds: Time limit of a request without `X-Timeout-Seconds`.
        shutdown_seconds: Longest graceful shutdown.
        drain_grace_seconds: Time between the end of readiness and the first
            rejected request, in which the balancer notices the change.
        receive_seconds: Longest time to receive a request.
        keep_alive_seconds: Longest time that a connection stays idle.
    """

    body_bytes: int = Field(default=1_048_576, ge=1024)
    header_bytes: int = Field(default=16_384, ge=1024)
    connections: int = Field(default=4096, ge=1)
    request_seconds: float = Field(default=60, gt=0, le=3600)
    shutdown_seconds: float = Field(default=30, gt=0, le=3600)
    drain_grace_seconds: float = Field(default=1, ge=0, le=60)
    receive_seconds: float = Field(default=10, gt=0, le=600)
    keep_alive_seconds: float = Field(default=75, gt=0, le=3600)


class DispatchSettings(SettingsSection):
    """Sending of requests to backend servers.

    Attributes:
        connect_seconds: Longest time to connect.
        idle_seconds: Longest time without data on an event stream; then it is
            resumed on another backend server.
        attempts: Largest number of attempts at one request.
        retry_ratio: Largest ratio of retries to requests of the last minute.
        retry_reserve: Retries per minute allowed in addition to that ratio.
    """

    connect_seconds: float = Field(default=1, gt=0, le=60)
    idle_seconds: float = Field(default=15, gt=0, le=600)
    attempts: int = Field(default=4, ge=1, le=100)
    retry_ratio: float = Field(default=0.1, ge=0, le=1)
    retry_reserve: int = Field(default=10, ge=0, le=1000)


class RouterSettings(SettingsSection):
    """All process settings of one router.

    Attributes:
        vm: Id of the VM it runs on.
        data_centre: Data centre of the VM.
        callers: Address for callers.
        operators: Address for operators; different from the callers' address.
        operator_token_file: File with the operators' bearer token.
        platform: Connection to the platform.
        peers: Connections to other routers.
        admission: Admission of requests.
        limits: Limits of the callers' address.
        dispatch: Sending of requests to backend servers.
    """

    vm: VmId = Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')
    data_centre: DataCentreId = Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')
    callers: str = Field(pattern=ADDRESS_PATTERN)
    operators: str = Field(pattern=ADDRESS_PATTERN)
    operator_token_file: Path
    platform: PlatformSettings
    peers: PeerSettings
    admission: AdmissionSettings = Field(default_factory=AdmissionSettings)
    limits: LimitSettings = Field(default_factory=LimitSettings)
    dispatch: DispatchSettings = Field(default_factory=DispatchSettings)
