"""Admission status as shown to operators."""

from typing import Any

import msgspec

from pollenloom.core.ids import (
    AccountId,
    DataCentreId,
    PoolId,
    ServerId,
    ServiceId,
    VersionId,
    VmId,
)


class ServerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server as known to its pool owner."""

    server: ServerId
    version: VersionId
    in_flight: int
    limit: int
    slots: int
    cold: bool
    leaving: bool


class PoolStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A pool; `waiting` is 0 and `servers` empty unless this VM owns it."""

    pool: PoolId
    service: ServiceId
    data_centre: DataCentreId
    owner: VmId
    epoch: int
    waiting: int
    servers: tuple[ServerStatus, ...] = ()


class AccountStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A client account; costs are in the unit of the service's resource."""

    account: AccountId
    service: ServiceId
    share: float
    served: float
    virtual_time: float
    waiting: int


class AdmissionStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Queues, pools and shares as known to one router."""

    policy: str
    waiting: int = 0
    pools: tuple[PoolStatus, ...] = ()
    accounts: tuple[AccountStatus, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Return the status as JSON-compatible types."""
        converted: dict[str, Any] = msgspec.to_builtins(self)
        return converted
