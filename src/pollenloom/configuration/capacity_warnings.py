"""Warnings about names in service files that no VM uses."""

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING

from pollenloom.core.states import VmRole
from pollenloom.validation.file_problem import FileProblem

if TYPE_CHECKING:
    from pollenloom.configuration.service_file import ServiceFile
    from pollenloom.core.ids import ServiceId
    from pollenloom.log_service.vm_entry import VmList


def find_warnings(
    services: 'Mapping[ServiceId, ServiceFile]',
    vm_list: 'VmList',
) -> Iterator[FileProblem]:
    """Return the data centres and versions that may be misspelt.

    These are warnings, not errors: the backend servers of a new version or
    data centre may be started after the publish.
    """
    data_centres = {vm.data_centre for vm in vm_list.vms}
    for service in services.values():
        for data_centre in service.data_centres:
            if data_centre not in data_centres:
                yield FileProblem(
                    service.service,
                    'data_centres',
                    'data centres that have VMs in the VM list of the platform',
                    repr(data_centre),
                )
        yield from find_version_warnings(service, vm_list)


def find_version_warnings(
    service: 'ServiceFile',
    vm_list: 'VmList',
) -> Iterator[FileProblem]:
    """Return versions that no backend server runs."""
    running = {
        vm.version
        for vm in vm_list.vms
        if vm.role is VmRole.BACKEND and vm.service == service.service
    }
    for version in service.versions:
        if version not in running:
            yield FileProblem(
                service.service,
                'versions',
                'versions that a backend server runs',
                repr(version),
            )
