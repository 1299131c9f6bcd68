"""Cold engines behind many routers, some with a clock that jumps."""

import asyncio

import pytest

from pollenloom.core.ids import VmId
from pollenloom.kernel.clock import Clock
from pollenloom.routing.service_profile import ServiceProfile
from tests.admission.local_fleet import SERVICE, LocalFleet, RequestShape
from tests.admission.simulated_loop import LoopClock, simulate

ROUTERS = 48
JUMPING = ROUTERS // 2
COLD_RATE = 10.0
BOUND = COLD_RATE * 1.5 + 5
JUMP_AT = 1004.0
JUMP_SECONDS = 3.0
SHAPE = RequestShape('tag', 400, 0, 2, 2.0, 4.0, sessions=1000)


class JumpingClock(LoopClock):
    """Clock whose time of day jumps for a while.

    Attributes:
        jump: Seconds by which the time of day is ahead meanwhile.
    """

    def __init__(self, jump: float) -> None:
        self.jump = jump

    def wall(self) -> float:
        now = asyncio.get_running_loop().time()
        is_ahead = JUMP_AT <= now < JUMP_AT + JUMP_SECONDS
        return now + self.jump if is_ahead else now


class JumpingFleet(LocalFleet):
    """Fleet in which one half of the routers has clocks that jump.

    Attributes:
        jump: Seconds by which their time of day is ahead for a while.
    """

    jump: float = 0

    def make_clock(self, router: VmId) -> Clock:
        """Return the clock of a router."""
        number = int(router.partition('-')[2])
        return JumpingClock(self.jump if number < JUMPING else 0)


async def busiest_second(jump: float, seed: int) -> tuple[int, int]:
    """Return the most requests a cold engine gets in a second, and in all."""
    fleet = JumpingFleet(ROUTERS, engines=3, slots=64, seed=seed)
    fleet.jump = jump
    directory = fleet.catalogue.directory
    directory.configure({SERVICE: ServiceProfile(SERVICE, 60, COLD_RATE)})
    for known in directory.servers.values():
        directory.mark_cold(known, 1000)
    await fleet.start()
    for router in range(ROUTERS):
        fleet.spawn(fleet.ask(f'a-{router % 4}', SHAPE, 4, [router]))
    await asyncio.sleep(12)
    await fleet.stop()
    busiest = 0
    total = 0
    for engine in fleet.engines.values():
        times = [at for at, _ in engine.arrivals]
        total += len(times)
        for first in times:
            count = sum(first <= at < first + 1 for at in times)
            busiest = max(busiest, count)
    return busiest, total


@pytest.mark.parametrize('jump', [-8, -2.4, -0.3, 0.3, 2.4, 8])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_jumping_clocks_do_not_overload_cold_engines(
    jump: float, seed: int
) -> None:
    """Guards against turns by the time of day.

    A router whose clock jumps had a second turn at once, and its later turns
    fell on those of other routers.
    """
    busiest, total = simulate(busiest_second(jump, seed))
    assert busiest <= BOUND
    # The rate is used all the same, from the second second on.
    assert total >= 0.7 * COLD_RATE * 3 * 10
