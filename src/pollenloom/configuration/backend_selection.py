"""Which backend servers may get new work."""

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
    closed: 'Collection[DataCentreId]',
) -> 'Iterator[BackendServer]':
    """Return the servers of a service; `closed` data centres have none."""
    for vm in vm_list.vms:
        if is_offered(vm, service) and vm.data_centre not in closed:
            yield BackendServer(
                server=vm.server,
                service=vm.service,
                data_centre=vm.data_centre,
                version=vm.version,
                address=vm.address,
                slots=vm.slots,
                cold_slots=vm.cold_slots,
            )


def is_offered(vm: 'VmEntry', service: 'ServiceFile') -> bool:
    """Whether the service's file lists what a live server offers."""
    listed = (
        vm.service == service.service
        and vm.version in service.versions
        and vm.data_centre in service.data_centres
    )
    is_live = vm.state is VmListState.LIVE
    return listed and is_live and vm.role is VmRole.BACKEND
