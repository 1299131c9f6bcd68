"""Tests that all routers apply the latest configuration and states."""

from collections.abc import AsyncIterator

import cbor2
import pytest

from pollenloom.configuration.configuration import Configuration
from pollenloom.configuration.configuration_store import ConfigurationStore
from pollenloom.configuration.log_entries import (
    ConfigurationChange,
    ConfigurationSnapshot,
    DataCentreChange,
)
from pollenloom.core.ids import (
    DataCentreId,
    Offset,
    PublishId,
    Revision,
    ServiceId,
    VersionId,
    VmId,
)
from pollenloom.core.states import DataCentreState, VmListState, VmRole
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.log_service.log_entry import decode_entry, encode_entry
from pollenloom.log_service.log_reader import PAGE_RECORDS
from pollenloom.log_service.vm_entry import VmEntry, VmList
from tests.configuration.service_texts import NOW, service_text
from tests.fakes.memory_membership import MemoryMembership
from tests.fakes.memory_platform import AppendFault, MemoryPlatform
from tests.fakes.vm_services import VmFleet, VmServices
from tests.manual_clock import ManualClock

ENSCHEDE = DataCentreId('enschede')
MINUTES = ServiceId('minutes')
RETENTION_SECONDS = 60.0


@pytest.fixture
async def fleet() -> AsyncIterator[VmFleet]:
    clock = ManualClock(NOW)
    fleet = VmFleet(clock, MemoryPlatform(clock, RETENTION_SECONDS))
    yield fleet
    await fleet.stop()


async def start(
    fleet: VmFleet, vm: str, data_centre: str = 'enschede'
) -> VmServices:
    return await fleet.start(vm, data_centre, (ConfigurationStore,))


def find_store(router: VmServices) -> ConfigurationStore:
    return router.kernel.find(ConfigurationStore.name, ConfigurationStore)


def publish(fleet: VmFleet, publish_id: str, base: int, text: str) -> None:
    change = ConfigurationChange(
        publish_id=PublishId(publish_id),
        base_revision=Revision(base),
        publisher='ann',
        files={'a.toml': text},
    )
    fleet.platform.add(encode_entry(change))


def count_entries(fleet: VmFleet, entry_type: type) -> int:
    entries = [
        decode_entry(record.payload) for record in fleet.platform.records
    ]
    return sum(isinstance(entry, entry_type) for entry in entries)


def make_server(vm: str, **changes: object) -> VmEntry:
    fields: dict[str, object] = {
        'vm': VmId(vm),
        'data_centre': ENSCHEDE,
        'role': VmRole.BACKEND,
        'state': VmListState.LIVE,
        'address': '127.0.0.1:3',
        'service': MINUTES,
        'version': VersionId('v1'),
        'slots': 8,
        'cold_slots': 2,
    }
    return VmEntry(**{**fields, **changes})  # type: ignore[arg-type]


async def test_change_is_in_force_on_all_routers(fleet: VmFleet) -> None:
    """Guards against routers that do not read the log and miss changes.

    Only the log readers of a data centre read the log; the other routers
    receive accepted changes through the registers.
    """
    routers = [
        await start(fleet, f'vm{number}', data_centre)
        for number, data_centre in enumerate(
            ('enschede', 'enschede', 'enschede', 'hengelo')
        )
    ]
    assert {find_store(router).current.revision for router in routers} == {0}
    # A reader that adopts a snapshot records no decisions on older changes, so
    # let it reach the end of the log first.
    await fleet.until(lambda: routers[0].log.caught_up)
    revisions: list[int] = []
    last = find_store(routers[2])
    last.watch(lambda: revisions.append(last.current.revision))
    publish(fleet, 'one', 0, service_text())
    publish(fleet, 'two', 0, service_text(share='2'))
    publish(fleet, 'three', 1, service_text(share='-1'))
    publish(fleet, 'four', 1, service_text(share='4'))
    await fleet.until(
        lambda: all(
            find_store(router).current.revision == 2 for router in routers
        )
    )
    assert revisions == sorted(revisions)
    assert last.current.services[MINUTES].accounts[0].share > 3
    assert last.current.publisher == 'ann'
    names = routers[0].event_names
    assert names.count('publish_accepted') == 2
    assert names.count('publish_lost') == 1
    assert names.count('publish_invalid') == 1


async def test_servers_that_may_get_work(fleet: VmFleet) -> None:
    """Guards against requests to servers that must not receive any.

    These are leaving servers, servers in a data centre that is out of service,
    and servers with a version or data centre that the file does not list.
    """
    router = await start(fleet, 'vm1')
    fleet.platform.vms = (
        make_server('good'),
        make_server('leaving', state=VmListState.LEAVING),
        make_server('entry', role=VmRole.ROUTER),
        make_server('other-version', version='v2'),
        make_server('other-service', service='labels'),
        make_server('unlisted', data_centre='almelo'),
        make_server('second', data_centre='hengelo'),
    )
    publish(fleet, 'one', 0, service_text())
    configuration = find_store(router)
    await fleet.until(lambda: configuration.servers(MINUTES))
    offered = {one.server for one in configuration.servers(MINUTES)}
    assert offered == {'good', 'second'}
    configuration.set_data_centre_state(ENSCHEDE, DataCentreState.OUT)
    assert [one.server for one in configuration.servers(MINUTES)] == ['second']
    assert not configuration.servers(ServiceId('unknown'))
    membership = router.kernel.find(
        KernelServiceName.MEMBERSHIP,
        MemoryMembership,
    )
    assert VmId('entry') in membership.learned


async def test_states_with_the_platform_down(fleet: VmFleet) -> None:
    """Guards against a data centre that cannot be taken out in an outage.

    While the platform is down, states reach other routers through the
    registers. They are appended to the log once it is back, exactly once.
    """
    routers = [await start(fleet, 'vm1'), await start(fleet, 'vm2', 'hengelo')]
    publish(fleet, 'one', 0, service_text())
    await fleet.until(lambda: find_store(routers[1]).current.revision == 1)
    fleet.platform.down = True
    await fleet.until(lambda: 'platform_unreachable' in routers[0].event_names)
    for state in (DataCentreState.OUT, DataCentreState.IN_SERVICE):
        find_store(routers[0]).set_data_centre_state(ENSCHEDE, state)
        assert find_store(routers[1]).data_centre_state(ENSCHEDE) is state
    find_store(routers[1]).set_data_centre_state(ENSCHEDE, DataCentreState.OUT)
    fleet.platform.down = False
    # The response to the append is lost; reading the log shows the state.
    fleet.platform.faults.append(AppendFault.LOST_AFTER)
    await fleet.until(lambda: count_entries(fleet, DataCentreChange))
    await fleet.stop()
    restarted = await start(fleet, 'vm3')
    await fleet.until(lambda: find_store(restarted).current.revision == 1)
    state = find_store(restarted).data_centre_state(ENSCHEDE)
    assert state is DataCentreState.OUT
    assert count_entries(fleet, DataCentreChange) == 1


async def test_state_outlives_the_retention(fleet: VmFleet) -> None:
    """Guards against a configuration lost to the retention time.

    The change is trimmed before the whole fleet restarts, so that only the
    snapshots and states appended since then are left.
    """
    routers = [await start(fleet, f'vm{number}') for number in range(3)]
    publish(fleet, 'one', 0, service_text())
    find_store(routers[0]).set_data_centre_state(ENSCHEDE, DataCentreState.OUT)
    await fleet.until(lambda: find_store(routers[2]).current.revision == 1)
    end = fleet.clock.now + RETENTION_SECONDS * 1.1
    await fleet.until(lambda: fleet.clock.now > end)
    fleet.platform.trim()
    assert not count_entries(fleet, ConfigurationChange)
    # One snapshot is due after each quarter of the retention time.
    assert 3 <= count_entries(fleet, ConfigurationSnapshot) <= 4
    await fleet.stop()
    restarted = await start(fleet, 'vm9')
    await fleet.until(lambda: find_store(restarted).current.revision == 1)
    state = find_store(restarted).data_centre_state(ENSCHEDE)
    assert state is DataCentreState.OUT
    publish(fleet, 'two', 1, service_text(share='2'))
    await fleet.until(lambda: find_store(restarted).current.revision == 2)


async def test_restart_shows_no_superseded_state(fleet: VmFleet) -> None:
    """Guards against superseded states being applied after a restart.

    The log is read from its start, page by page. Until its end is reached, old
    configurations and data centre states must not reach the registers.
    """
    order = cbor2.dumps({'kind': 'order'})
    for revision in range(3):
        publish(fleet, f'p{revision}', revision, service_text(share='2'))
        state = (DataCentreState.OUT, DataCentreState.IN_SERVICE)[revision % 2]
        change = DataCentreChange(
            data_centre=ENSCHEDE,
            state=state,
            counter=revision,
            origin=VmId('vm9'),
        )
        fleet.platform.add(encode_entry(change))
        for _ in range(PAGE_RECORDS):
            fleet.platform.add(order)
    fleet.platform.cut_at = Offset(PAGE_RECORDS)
    router = await start(fleet, 'vm1')
    configuration = find_store(router)
    await fleet.until(lambda: 'publish_accepted' in router.event_names)
    assert configuration.current.revision == 0
    fleet.platform.cut_at = None
    await fleet.until(lambda: configuration.current.revision == 3)
    await fleet.until(lambda: router.log.caught_up)
    names = router.event_names
    assert names.count('configuration_in_force') == 1
    assert names.count('data_centre_state_changed') == 1


async def test_lower_revision_of_a_peer_is_ignored(fleet: VmFleet) -> None:
    """Guards against a lower revision when network partitions rejoin."""
    first = await start(fleet, 'vm1')
    publish(fleet, 'one', 0, service_text())
    publish(fleet, 'two', 1, service_text(share='2'))
    await fleet.until(lambda: find_store(first).current.revision == 2)
    other = VmFleet(fleet.clock, MemoryPlatform(fleet.clock))
    second = await start(other, 'vm2')
    publish(other, 'one', 0, service_text())
    await other.until(lambda: find_store(second).current.revision == 1)
    second.registers.connect(first.registers)
    await other.until(lambda: find_store(second).current.revision == 2)
    assert find_store(first).current.publish_id == 'two'
    await other.stop()


@pytest.mark.parametrize(
    ('revision', 'as_of', 'is_complete'),
    [(1, 0, False), (0, 1, False), (1, 1, True)],
)
def test_router_without_a_vm_list_is_not_ready(
    revision: int,
    as_of: float,
    is_complete: bool,
) -> None:
    """Guards against rejected requests right after a start.

    A router without a VM list or configuration knows no backend servers.
    """
    configuration = ConfigurationStore(Kernel())
    configuration.configuration = Configuration(Revision(revision), {})
    configuration.vm_list = VmList(as_of=as_of, vms=())
    assert configuration.is_complete is is_complete
