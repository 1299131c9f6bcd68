"""Process settings of one router, read from its TOML file."""

from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from pollenloom.core.ids import DataCentreId, VmId

ADDRESS_PATTERN = r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$'


class SettingsSection(BaseModel):
    """Base of all sections: unknown keys are errors."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class PlatformSettings(SettingsSection):
    """Where the platform is.

    Attributes:
        url: Base URL of the log and the VM list.
        timeout_seconds: Limit for one call.
        poll_seconds: Time between two reads of the log by a log reader.
    """

    url: str = Field(pattern='^http://')
    timeout_seconds: float = Field(default=2, gt=0, le=60)
    poll_seconds: float = Field(default=0.5, gt=0, le=60)


class PeerSettings(SettingsSection):
    """How to talk to other routers.

    Attributes:
        listen: Address to listen on.
        advertise: Address that others connect to; `listen` if empty.
        seeds: Peer addresses to join the fleet by.
        fleet_key_file: File with the key that all routers share.
    """

    listen: str = Field(pattern=ADDRESS_PATTERN)
    advertise: str = Field(default='', pattern=f'^$|{ADDRESS_PATTERN}')
    seeds: tuple[str, ...] = ()
    fleet_key_file: Path


class AdmissionSettings(SettingsSection):
    """How requests are admitted.

    Attributes:
        policy: Admission policy.
        shard_servers: Backend servers of one pool shard, at most.
        fair: Whether accounts are served by fair share; off only to compare.
        ramp: Whether cold servers get less; off only to compare.
        affinity: Whether cached prefixes steer the choice of the server.
        routers: Routers in the fleet, for static division and round robin.
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
        connections: Open connections.
        request_seconds: Deadline of a request without `X-Timeout-Seconds`.
        shutdown_seconds: Longest graceful shutdown.
        drain_grace_seconds: Time from the end of readiness to the first
            refusal, in which the balancer notices it.
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
    """How requests are sent to backend servers.

    Attributes:
        connect_seconds: Longest time to connect.
        idle_seconds: Longest silence of an event stream; then it is resumed
            on another server.
        attempts: Attempts at one request, at most.
        retry_ratio: Retries of the last minute, as a share of its requests.
        retry_reserve: Retries of the last minute above that share.
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
        operators: Address for operators; apart from the callers' one.
        operator_token_file: File with the operators' bearer token.
        platform: Where the platform is.
        peers: How to talk to other routers.
        admission: How requests are admitted.
        limits: Limits of the callers' address.
        dispatch: How requests are sent to backend servers.
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
