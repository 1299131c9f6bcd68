"""Failure scenarios of a fleet of routers over real connections."""

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
from tests.fleet import FleetMemberServices, eventually
from tests.membership.conftest import PROCESS_VM, MembershipFleet

# The design states 1 s for a killed and 3.5 s for a frozen router; the slack
# is for loaded machines.
KILLED_SECONDS = 10
FROZEN_SECONDS = 20
SLOW_SECONDS = 2.2


def live_losses(routers: list[FleetMemberServices], vm: VmId) -> list[VmId]:
    """Return a list of the routers that stop seeing a VM as live.

    The list grows while the membership of the routers changes.
    """
    losses: list[VmId] = []

    def check(router: FleetMemberServices) -> None:
        if vm not in router.membership.live():
            losses.append(router.vm)

    for router in routers:
        router.membership.add_listener(partial(check, router))
    return losses


def remaining_seconds(loop: asyncio.AbstractEventLoop) -> float:
    """Seconds until the next frames of a slow router are delivered."""
    return SLOW_SECONDS - loop.time() % SLOW_SECONDS


def each_sees_only_its_side(*sides: list[FleetMemberServices]) -> bool:
    """Whether each router sees only those on its side of a partition."""
    return all(router.sees(side) for side in sides for router in side)


async def test_killed_router_is_dead_soon(fleet: MembershipFleet) -> None:
    """Guards against pools that wait for a dead owner.

    All routers must detect a killed router in time and agree on the ranking
    without it.
    """
    killed = await fleet.kill('vm-3')
    async with asyncio.timeout(KILLED_SECONDS):
        await eventually(fleet.all_see_each_other)
    assert {router.state_of(killed.vm) for router in fleet.routers} == {
        MemberState.DEAD,
    }
    key = 'pool'
    assert len({router.membership.ranked(key) for router in fleet.routers}) == 1


async def test_frozen_router_is_dead_and_is_readmitted(
    fleet: MembershipFleet,
    router_process: asyncio.subprocess.Process,
) -> None:
    """Guards against a frozen router that stays live or is never readmitted.

    A stopped process must be declared dead, and must refute with a higher
    incarnation after it continues.
    """
    frozen = VmId(PROCESS_VM)
    await eventually(
        lambda: all(
            router.state_of(frozen) is MemberState.ALIVE
            for router in fleet.routers
        ),
    )
    previous = fleet.routers[0].membership.table.entries[frozen]
    router_process.send_signal(signal.SIGSTOP)
    async with asyncio.timeout(FROZEN_SECONDS):
        await eventually(fleet.all_see_each_other)
    router_process.send_signal(signal.SIGCONT)
    await eventually(
        lambda: all(
            frozen in router.membership.live() for router in fleet.routers
        ),
    )
    readmitted = fleet.routers[-1].membership.table.entries[frozen]
    assert readmitted.incarnation > previous.incarnation


async def test_leaving_router_gets_no_new_work(fleet: MembershipFleet) -> None:
    """Guards against work sent to a router in its graceful shutdown."""
    leaving = fleet.router('vm-5')
    assert await leaving.kernel.drain(timeout_seconds=10)
    fleet.routers.remove(leaving)
    await eventually(fleet.all_see_each_other)
    assert {router.state_of(leaving.vm) for router in fleet.routers} == {
        MemberState.LEAVING,
    }
    assert leaving.vm not in leaving.membership.live()
    await leaving.kernel.stop()
    await eventually(
        lambda: all(
            router.state_of(leaving.vm) is MemberState.DEAD
            for router in fleet.routers
        ),
    )


async def test_all_leaving_routers_agree_on_owners(
    fleet: MembershipFleet,
) -> None:
    """Guards against two owners of a pool while a fleet is shut down.

    Without any live router, the leaving ones must be ranked alike.
    """
    await asyncio.gather(
        *(router.membership.leave() for router in fleet.routers),
    )
    await eventually(
        lambda: not any(router.membership.live() for router in fleet.routers),
    )
    owners = {router.membership.ranked('pool') for router in fleet.routers}
    assert len(owners) == 1
    assert len(owners.pop()) == len(fleet.routers)


async def test_partition_heals(fleet: MembershipFleet) -> None:
    """Guards against sides of a partition that never reconnect.

    Both sides declare each other dead and write registers; afterwards all
    routers must be live and have the newest registers of both sides.
    """
    sides = (fleet.routers[:3], fleet.routers[3:])
    for router in fleet.routers:
        # Without seeds: the first router may no longer exist when a partition
        # heals.
        router.membership.joiner.seeds = frozenset()
        other_side = sides[1] if router in sides[0] else sides[0]
        router.drop_frames_from([other.vm for other in other_side])
    await eventually(lambda: each_sees_only_its_side(*sides))
    sides[0][0].registers.put('configuration', RegisterValue(2, 'a', b'new'))
    sides[1][0].registers.put('configuration', RegisterValue(1, 'b', b'old'))
    sides[1][1].registers.put('vm_list', RegisterValue(1, '', b'list'))
    await eventually(
        lambda: all(receiver.registers.get('vm_list') for receiver in sides[1]),
    )
    for healed in fleet.routers:
        healed.drop_frames_from(())
    await eventually(fleet.all_see_each_other)
    await eventually(
        lambda: all(
            each.registers.table.registers
            == {
                'configuration': RegisterValue(2, 'a', b'new'),
                'vm_list': RegisterValue(1, '', b'list'),
            }
            for each in fleet.routers
        ),
    )


async def test_one_way_cut_declares_no_router_dead(
    fleet: MembershipFleet,
) -> None:
    """Guards against declaring a live router dead because of one cut path.

    One neighbour does not receive its heartbeats and suspects it again and
    again, while all other routers receive them.
    """
    sender = fleet.router('vm-2')
    receiver = next(
        router
        for router in fleet.routers
        if router.vm in sender.membership.links()
    )
    previous = sender.membership.local_member.incarnation
    losses = live_losses(fleet.routers, sender.vm)
    receiver.drop_frames_from([sender.vm])
    await eventually(
        lambda: sender.membership.local_member.incarnation >= previous + 2
    )
    assert not losses
    assert fleet.all_see_each_other()


async def test_slow_router_is_not_dead(fleet: MembershipFleet) -> None:
    """Guards against declaring a slow router dead.

    Its frames arrive in bursts that are further apart than the heartbeat
    timeout, so it is suspected several times and must refute in time.
    """
    slow = fleet.router('vm-2')
    loop = asyncio.get_running_loop()
    previous = slow.membership.local_member.incarnation
    losses = live_losses(fleet.routers, slow.vm)
    others = [router for router in fleet.routers if router is not slow]
    slow.delay_frames_from([router.vm for router in others], lambda: 0.5)
    for other in others:
        # Frames of each period arrive together at its end.
        other.delay_frames_from([slow.vm], partial(remaining_seconds, loop))
    await eventually(
        lambda: slow.membership.local_member.incarnation >= previous + 3
    )
    assert not losses


async def test_restarted_router_gets_all_registers(
    fleet: MembershipFleet,
) -> None:
    """Guards against a restarted router that stays without registers.

    The values are too large for one frame together, so that it must fetch
    them in several batches.
    """
    large = RegisterValue(7, 'vm-1', bytes(600_000))
    for number in range(3):
        fleet.router('vm-1').registers.put(f'move/{number}', large)
    await eventually(
        lambda: all(
            len(router.registers.keys('move/')) == 3 for router in fleet.routers
        ),
    )
    killed = await fleet.kill('vm-4')
    restarted = await fleet.add(
        'vm-4',
        killed.network.address,
        *[router.network.address for router in fleet.routers[:2]],
    )
    notified_keys: list[str] = []
    restarted.registers.watch('move/', lambda key, _: notified_keys.append(key))
    await eventually(
        lambda: sorted(notified_keys) == ['move/0', 'move/1', 'move/2']
    )
    await eventually(fleet.all_see_each_other)
    assert (
        restarted.membership.local_member.incarnation
        > killed.membership.local_member.incarnation
    )


async def test_platform_list_leads_to_the_fleet(fleet: MembershipFleet) -> None:
    """Guards against a router without seeds that never joins.

    The platform's VM list names a live router and one that no longer exists.
    """
    alone = await fleet.add('vm-8', '127.0.0.18:0')
    alone.membership.add_addresses(
        [
            VmEntry(
                vm=fleet.routers[0].vm,
                data_centre=DataCentreId('enschede'),
                role=VmRole.ROUTER,
                state=VmListState.LIVE,
                address=fleet.routers[0].network.address,
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
    await eventually(fleet.all_see_each_other)
    assert alone.state_of(VmId('vm-gone')) is None
