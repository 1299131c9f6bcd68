"""Faults that tests inject into a simulated fleet."""

from pollenloom.core.ids import DataCentreId, PoolId, VmId
from tests.admission.fake_fleet import FakeFleet
from tests.admission.fake_settings import ENSCHEDE, HENGELO, SERVICE


def pause(fleet: FakeFleet, vm: VmId) -> None:
    """Stop a router's tasks and hold its messages; its callers continue."""
    fleet.links.hold(vm)
    for task in tuple(fleet.routers[vm].kernel.tasks):
        task.cancel()


def resume(fleet: FakeFleet, vm: VmId) -> None:
    """Resume a paused router, which first gets the held messages."""
    router = fleet.routers[vm]
    fleet.links.release(vm)
    admission = router.allocator_admission
    router.kernel.spawn('admission-router', admission.run_client())
    router.kernel.spawn('admission-owner', admission.run_owners())


def owner(
    fleet: FakeFleet,
    data_centre: DataCentreId = ENSCHEDE,
) -> VmId:
    """Return the owner of a data centre's pool in the first router's view."""
    admission = next(iter(fleet.routers.values())).allocator_admission
    return admission.scope.owners[PoolId(f'{SERVICE}/{data_centre}/0')]


def partition(fleet: FakeFleet, *groups: list[VmId]) -> None:
    """Cut the links between groups; each keeps only its own members."""
    for group in groups:
        seen = {vm: fleet.members[vm] for vm in group}
        for vm in seen:
            for other in fleet.routers.keys() - seen.keys():
                fleet.links.cut.add(frozenset((vm, other)))
            fleet.routers[vm].membership.set_members(seen)


def partition_data_centres(fleet: FakeFleet) -> None:
    """Cut two data centres off from each other, routers and servers."""
    sides: dict[DataCentreId, list[VmId]] = {ENSCHEDE: [], HENGELO: []}
    for vm in fleet.routers:
        sides[fleet.members[vm].data_centre].append(vm)
    partition(fleet, *sides.values())
    fleet.unreachable.update(dict.fromkeys(sides[ENSCHEDE], HENGELO))
    fleet.unreachable.update(dict.fromkeys(sides[HENGELO], ENSCHEDE))


def heal(fleet: FakeFleet) -> None:
    """Restore all links and the full membership."""
    fleet.links.cut.clear()
    fleet.unreachable.clear()
    fleet.announce_members()


def open_grants(fleet: FakeFleet) -> int:
    """Number of grants that the owners count as in flight."""
    return sum(
        len(allocator.ledger.open)
        for router in fleet.routers.values()
        for allocator in router.allocator_admission.owners.allocators.values()
    )
