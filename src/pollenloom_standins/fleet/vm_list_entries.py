"""Entries of the platform's VM list for the VMs of a fleet."""

from pollenloom.core.states import VmListState, VmRole
from pollenloom.log_service.vm_entry import VmEntry
from pollenloom_standins.fleet.fleet_plan import BackendPlan, RouterPlan


def backend_entry(
    plan: BackendPlan,
    address: str,
    state: VmListState = VmListState.LIVE,
) -> VmEntry:
    """Return the entry of a backend server."""
    return VmEntry(
        vm=plan.vm,
        data_centre=plan.data_centre,
        role=VmRole.BACKEND,
        state=state,
        address=address,
        service=plan.service,
        version=plan.version,
        slots=plan.slots,
        cold_slots=plan.cold_slots,
    )


def router_entry(
    plan: RouterPlan,
    address: str,
    state: VmListState = VmListState.LIVE,
) -> VmEntry:
    """Return the entry of a router with the address for its peers."""
    return VmEntry(
        vm=plan.vm,
        data_centre=plan.data_centre,
        role=VmRole.ROUTER,
        state=state,
        address=address,
    )
