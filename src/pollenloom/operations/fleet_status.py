"""Status of the fleet that operators get."""

from typing import Any

import msgspec

from pollenloom.admission.admission_status import AccountStatus, PoolStatus
from pollenloom.core.ids import (
    DataCentreId,
    MoveId,
    Revision,
    ServerId,
    ServiceId,
    VersionId,
    VmId,
)
from pollenloom.core.states import DataCentreState, MemberState


class MemberView(msgspec.Struct, frozen=True, kw_only=True):
    """A router; `phase`, `revision` and `waiting` are set if it answered."""

    vm: VmId
    data_centre: DataCentreId
    state: MemberState
    operator_address: str
    answered: bool
    phase: str | None = None
    revision: Revision | None = None
    waiting: int | None = None


class DataCentreView(msgspec.Struct, frozen=True, kw_only=True):
    """A data centre; `routers_with_state` counts routers that answered."""

    data_centre: DataCentreId
    state: DataCentreState
    routers: int
    routers_with_state: int


class ConfigurationView(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration in force on the router that was asked.

    Attributes:
        routers_behind: Routers that answered with a lower revision.
    """

    revision: Revision
    publish_id: str
    publisher: str
    services: tuple[ServiceId, ...]
    routers_behind: tuple[VmId, ...]


class ServerView(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server; its load is known if its pool owner answered.

    Attributes:
        address: `host:port`; empty if it is no longer configured.
        takes_work: Whether it may get new requests.
        in_flight: Requests of the whole fleet on it.
        limit: Number of requests that it may have now.
        cold: Whether it is still cold.
    """

    server: ServerId
    service: ServiceId
    data_centre: DataCentreId
    version: VersionId
    address: str
    slots: int
    takes_work: bool
    in_flight: int | None = None
    limit: int | None = None
    cold: bool | None = None


class MoveView(msgspec.Struct, frozen=True, kw_only=True):
    """A version move; times in RFC 3339.

    Attributes:
        state: `waiting` until its evaluator has written a first state.
        record: Last record of the evaluator, with stage and evidence.
    """

    move: MoveId
    service: ServiceId
    from_version: VersionId
    to_version: VersionId
    start: str
    finish_by: str
    state: str
    record: dict[str, Any]


class FleetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that `pollenloom status` shows.

    Attributes:
        asked: Router that merged the status.
        not_answered: Routers without a reply before the timeout.
        policy: Admission policy.
        waiting: Requests that wait on all routers that answered.
        accounts: Shares and work done, for each account and service.
        accounts_left_out: Number of entries that routers omitted from long
            replies; other routers may have reported some of them.
    """

    asked: VmId
    not_answered: tuple[VmId, ...]
    policy: str
    waiting: int
    configuration: ConfigurationView
    members: tuple[MemberView, ...]
    data_centres: tuple[DataCentreView, ...]
    pools: tuple[PoolStatus, ...]
    servers: tuple[ServerView, ...]
    accounts: tuple[AccountStatus, ...]
    accounts_left_out: int
    moves: tuple[MoveView, ...]
