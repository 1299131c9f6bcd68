"""Failures of a fleet of routers over real connections."""

import asyncio
import signal
from functools import partial

from pollenloom.core.ids import DataCentreId, VmId
from pollenloom.core.states import (
    MemberState,
    VmListState,
    VmRole,
)
from pollenloom.log_service.vm_entry import VmEntry
from pollenloom.membership.register_value import RegisterValue
from tests.fleet import FleetNode, eventually
from tests.membership.conftest import PROCESS_VM, MembershipFleet

# The design states 1 s for a killed and 3.5 s for a frozen router; the slack
# is for loaded machines.
KILLED_SECONDS = 10
FROZEN_SECONDS = 20
SLOW_SECONDS = 2.2


def live_losses(nodes: list[FleetNode], vm: VmId) -> list[VmId]:
    """Return the list to which routers are added that lose a live VM."""
    losses: list[VmId] = []

    def check(node: FleetNode) -> None:
        if vm not in node.membership.live():
            losses.append(node.vm)

    for node in nodes:
        node.membership.watch(partial(check, node))
    return losses


def remaining_seconds(loop: asyncio.AbstractEventLoop) -> float:
    """Time until the next arrival of frames of a slow router."""
    return SLOW_SECONDS - loop.time() % SLOW_SECONDS


def each_sees_its_side(*sides: list[FleetNode]) -> bool:
    """Whether all routers see just those of their side of a partition."""
    return all(node.sees(side) for side in sides for node in side)


async def test_killed_router_is_dead_soon(fleet: MembershipFleet) -> None:
    """Guards against pools that wait for a dead owner."""
    killed = await fleet.kill('vm-3')
    async with asyncio.timeout(KILLED_SECONDS):
        await eventually(fleet.is_whole)
    assert {node.state_of(killed.vm) for node in fleet.nodes} == {
        MemberState.DEAD,
    }
    key = 'pool'
    assert len({node.membership.ranked(key) for node in fleet.nodes}) == 1


async def test_frozen_router_is_dead_and_comes_back(
    fleet: MembershipFleet,
    router_process: asyncio.subprocess.Process,
) -> None:
    """Guards against a frozen owner that stays, and one that never returns."""
    frozen = VmId(PROCESS_VM)
    await eventually(
        lambda: all(
            node.state_of(frozen) is MemberState.ALIVE for node in fleet.nodes
        ),
    )
    before = fleet.nodes[0].membership.table.entries[frozen]
    router_process.send_signal(signal.SIGSTOP)
    async with asyncio.timeout(FROZEN_SECONDS):
        await eventually(fleet.is_whole)
    router_process.send_signal(signal.SIGCONT)
    await eventually(
        lambda: all(frozen in node.membership.live() for node in fleet.nodes),
    )
    back = fleet.nodes[-1].membership.table.entries[frozen]
    assert back.incarnation > before.incarnation


async def test_leaving_router_gets_no_new_work(fleet: MembershipFleet) -> None:
    """Guards against work sent to a router in its graceful shutdown."""
    leaving = fleet.node('vm-5')
    assert await leaving.kernel.drain(timeout_seconds=10)
    fleet.nodes.remove(leaving)
    await eventually(fleet.is_whole)
    assert {node.state_of(leaving.vm) for node in fleet.nodes} == {
        MemberState.LEAVING,
    }
    assert leaving.vm not in leaving.membership.live()
    await leaving.kernel.stop()
    await eventually(
        lambda: all(
            node.state_of(leaving.vm) is MemberState.DEAD
            for node in fleet.nodes
        ),
    )


async def test_all_leaving_routers_agree_on_owners(
    fleet: MembershipFleet,
) -> None:
    """Guards against two owners of a pool while a fleet is shut down."""
    await asyncio.gather(
        *(node.membership.leave() for node in fleet.nodes),
    )
    await eventually(
        lambda: not any(node.membership.live() for node in fleet.nodes),
    )
    owners = {node.membership.ranked('pool') for node in fleet.nodes}
    assert len(owners) == 1
    assert len(owners.pop()) == len(fleet.nodes)


async def test_partition_heals(fleet: MembershipFleet) -> None:
    """Guards against sides that never find each other again."""
    sides = (fleet.nodes[:3], fleet.nodes[3:])
    for node in fleet.nodes:
        # The first router may be gone for good when a partition heals.
        node.membership.joiner.seeds = frozenset()
        far = sides[1] if node in sides[0] else sides[0]
        node.lose_frames_of([other.vm for other in far])
    await eventually(lambda: each_sees_its_side(*sides))
    sides[0][0].registers.put('configuration', RegisterValue(2, 'a', b'new'))
    sides[1][0].registers.put('configuration', RegisterValue(1, 'b', b'old'))
    sides[1][1].registers.put('vm_list', RegisterValue(1, '', b'list'))
    await eventually(
        lambda: all(far.registers.get('vm_list') for far in sides[1]),
    )
    for healed in fleet.nodes:
        healed.lose_frames_of(())
    await eventually(fleet.is_whole)
    await eventually(
        lambda: all(
            each.registers.table.registers
            == {
                'configuration': RegisterValue(2, 'a', b'new'),
                'vm_list': RegisterValue(1, '', b'list'),
            }
            for each in fleet.nodes
        ),
    )


async def test_one_way_cut_kills_nobody(fleet: MembershipFleet) -> None:
    """Guards against a live router dead for one that can't hear it."""
    heard = fleet.node('vm-2')
    deaf = next(
        node for node in fleet.nodes if node.vm in heard.membership.links()
    )
    before = heard.membership.own.incarnation
    losses = live_losses(fleet.nodes, heard.vm)
    deaf.lose_frames_of([heard.vm])
    await eventually(lambda: heard.membership.own.incarnation >= before + 2)
    assert not losses
    assert fleet.is_whole()


async def test_slow_router_is_not_dead(fleet: MembershipFleet) -> None:
    """Guards against a slow router that is taken for a dead one."""
    slow = fleet.node('vm-2')
    loop = asyncio.get_running_loop()
    before = slow.membership.own.incarnation
    losses = live_losses(fleet.nodes, slow.vm)
    others = [node for node in fleet.nodes if node is not slow]
    slow.receive_late([node.vm for node in others], lambda: 0.5)
    for other in others:
        # Frames of each period arrive together at its end.
        other.receive_late([slow.vm], partial(remaining_seconds, loop))
    await eventually(lambda: slow.membership.own.incarnation >= before + 3)
    assert not losses


async def test_restarted_router_gets_all_registers(
    fleet: MembershipFleet,
) -> None:
    """Guards against a router that comes back empty and stays so."""
    large = RegisterValue(7, 'vm-1', bytes(600_000))
    for number in range(3):
        fleet.node('vm-1').registers.put(f'move/{number}', large)
    await eventually(
        lambda: all(
            len(node.registers.keys('move/')) == 3 for node in fleet.nodes
        ),
    )
    killed = await fleet.kill('vm-4')
    again = await fleet.add(
        'vm-4',
        killed.network.address,
        *[node.network.address for node in fleet.nodes[:2]],
    )
    told: list[str] = []
    again.registers.watch('move/', lambda key, _: told.append(key))
    await eventually(lambda: sorted(told) == ['move/0', 'move/1', 'move/2'])
    await eventually(fleet.is_whole)
    assert again.membership.own.incarnation > killed.membership.own.incarnation


async def test_platform_list_leads_to_the_fleet(fleet: MembershipFleet) -> None:
    """Guards against a router without seeds that stays alone."""
    alone = await fleet.add('vm-8', '127.0.0.18:0')
    alone.membership.learn_addresses(
        [
            VmEntry(
                vm=fleet.nodes[0].vm,
                data_centre=DataCentreId('enschede'),
                role=VmRole.ROUTER,
                state=VmListState.LIVE,
                address=fleet.nodes[0].network.address,
            ),
            VmEntry(
                vm=VmId('vm-gone'),
                data_centre=DataCentreId('enschede'),
                role=VmRole.ROUTER,
                state=VmListState.LIVE,
                address='127.0.0.19:1',
            ),
        ]
    )
    await eventually(fleet.is_whole)
    assert alone.state_of(VmId('vm-gone')) is None
