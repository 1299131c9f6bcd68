"""Entries of the platform's VM list."""

import msgspec

from pollenloom.core.ids import (
    DataCentreId,
    ServerId,
    ServiceId,
    VersionId,
    VmId,
)
from pollenloom.core.states import VmListState, VmRole


class VmEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One VM of the list.

    Attributes:
        vm: Id of the VM; for a backend server also its server id.
        data_centre: Data centre of the VM.
        role: Router or backend server.
        state: Live or leaving; may be out of date.
        address: `host:port`; for a router the address for its peers, for a
            backend server its HTTP address.
        service: Service of a backend server, else empty.
        version: Version of a backend server, else empty.
        slots: Maximum concurrent requests of a warm backend server.
        cold_slots: Maximum concurrent requests of a cold backend server.
    """

    vm: VmId
    data_centre: DataCentreId
    role: VmRole
    state: VmListState
    address: str
    service: ServiceId = ServiceId('')
    version: VersionId = VersionId('')
    slots: int = 0
    cold_slots: int = 0

    @property
    def server(self) -> ServerId:
        """Id of the backend server on this VM."""
        return ServerId(self.vm)


class VmList(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list of VMs.

    Attributes:
        as_of: Platform time of the list, seconds since the Unix epoch.
        vms: All entries.
    """

    as_of: float
    vms: tuple[VmEntry, ...]
