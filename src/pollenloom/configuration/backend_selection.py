"""Selection of the backend servers that may receive new requests."""

from typing import TYPE_CHECKING

from pollenloom.core.backend_server import BackendServer
from pollenloom.core.states import VmListState, VmRole

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from pollenloom.configuration.service_file import ServiceFile
    from pollenloom.core.ids import DataCentreId
    from pollenloom.log_service.vm_entry import VmEntry, VmList


def select_servers(
    vm_list: 'VmList',
    service: 'ServiceFile',
    out_of_service: 'Collection[DataCentreId]',
) -> 'Iterator[BackendServer]':
    """Return the backend servers of a service that may receive new requests.

    Servers in the data centres in `out_of_service` are left out.
    """
    for vm in vm_list.vms:
        if is_eligible(vm, service) and vm.data_centre not in out_of_service:
            yield BackendServer(
                server=vm.server,
                service=vm.service,
                data_centre=vm.data_centre,
                version=vm.version,
                address=vm.address,
                slots=vm.slots,
                cold_slots=vm.cold_slots,
            )


def is_eligible(vm: 'VmEntry', service: 'ServiceFile') -> bool:
    """Whether a VM is a live backend server that the service file lists."""
    listed = (
        vm.service == service.service
        and vm.version in service.versions
        and vm.data_centre in service.data_centres
    )
    is_live = vm.state is VmListState.LIVE
    return listed and is_live and vm.role is VmRole.BACKEND
