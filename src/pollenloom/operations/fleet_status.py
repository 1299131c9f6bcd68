"""Status of the fleet as operators get it."""

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
    """A router; `phase`, `revision` and `waiting` only if it answered."""

    vm: VmId
    data_centre: DataCentreId
    state: MemberState
    operator_address: str
    answered: bool
    phase: str | None = None
    revision: Revision | None = None
    waiting: int | None = None


class DataCentreView(msgspec.Struct, frozen=True, kw_only=True):
    """A data centre; `routers_with_state` counts those that answered."""

    data_centre: DataCentreId
    state: DataCentreState
    routers: int
    routers_with_state: int


class ConfigurationView(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration in force on the router that was asked."""

    revision: Revision
    publish_id: str
    publisher: str
    services: tuple[ServiceId, ...]
    routers_behind: tuple[VmId, ...]


class ServerView(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server; load is known if its pool owner answered.

    Attributes:
        takes_work: Whether it may get new work.
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
        state: `waiting` until its judge has written a first state.
        record: What the judge wrote: stage, evidence.
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
        asked: Router that put the status together.
        not_answered: Routers without an answer within the time limit.
        policy: Admission policy.
        waiting: Requests that wait on the routers that answered.
        accounts: Shares and service; one entry for each account and service.
        accounts_left_out: Entries that routers cut from long answers; some
            of them may still be told by other routers.
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
