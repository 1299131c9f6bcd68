"""Measures what heartbeats, gossip and registers cost a router.

Starts fleets of several sizes in this process, with real websockets on
loopback addresses, and prints processor time, frames and bytes for each
router and second, idle and with one register change a second. Bytes are the
content of the websocket frames, without headers of websocket, TCP and IP.
"""

import argparse
import asyncio
import os
import resource
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import numpy as np
import uvloop

from pollenloom.membership.register_value import RegisterValue
from tests.fleet import FleetMemberServices, eventually, make_router

DATA_CENTRES = ('almelo', 'enschede', 'hengelo')
FIRST_HOST = 10
# Full exchanges continue for some seconds after many routers join at once.
SETTLE_SECONDS = 8.0
PAYLOAD_BYTES = 256
FLEET_KEY = b'only for measurements'
MICROSECONDS = 1e6


@dataclass(frozen=True, slots=True)
class Cost:
    """Costs for each router and second, as means over all routers.

    Attributes:
        routers: Number of routers in the fleet.
        links: Links on which a router sends heartbeats.
        core_microseconds: Processor time of one core.
        frames: Frames sent and received.
        bytes_sent: Content of the frames sent, without headers.
    """

    routers: int
    links: float
    core_microseconds: float
    frames: float
    bytes_sent: float


def processor_seconds() -> float:
    """Return the user and system time of this process in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def frame_totals(routers: list[FleetMemberServices]) -> tuple[int, int]:
    """Return all routers' frames, sent and received, and bytes sent."""
    counters = [router.network.reporter.counters for router in routers]
    frames = sum(each.sent_frames + each.received_frames for each in counters)
    return frames, sum(each.sent_bytes for each in counters)


async def start_fleet(size: int, key_file: Path) -> list[FleetMemberServices]:
    """Start routers spread over the data centres and wait until all joined."""
    routers: list[FleetMemberServices] = []
    for number in range(size):
        router = make_router(
            key_file,
            f'vm-{number:03}',
            DATA_CENTRES[number % len(DATA_CENTRES)],
            (routers[0].network.address,) if routers else (),
            f'127.0.0.{FIRST_HOST + number}:0',
        )
        await router.kernel.start()
        routers.append(router)
    await eventually(
        lambda: all(
            len(router.membership.live()) == size for router in routers
        ),
    )
    return routers


async def change_registers(router: FleetMemberServices) -> None:
    """Change one register each second, until cancelled."""
    counter = 0
    payload = bytes(PAYLOAD_BYTES)
    while True:
        counter += 1
        router.registers.put(
            'data_centre/hengelo',
            RegisterValue(counter, router.vm, payload),
        )
        await asyncio.sleep(1)


async def measure_costs(
    routers: list[FleetMemberServices], seconds: float
) -> Cost:
    """Wait until the fleet is steady, then measure for some seconds."""
    await asyncio.sleep(SETTLE_SECONDS)
    frames, sent = frame_totals(routers)
    processor = processor_seconds()
    started = time.monotonic()
    await asyncio.sleep(seconds)
    router_seconds = len(routers) * (time.monotonic() - started)
    processor = processor_seconds() - processor
    frames_after, sent_after = frame_totals(routers)
    return Cost(
        routers=len(routers),
        links=sum(len(router.membership.links()) for router in routers)
        / len(routers),
        core_microseconds=processor * MICROSECONDS / router_seconds,
        frames=(frames_after - frames) / router_seconds,
        bytes_sent=(sent_after - sent) / router_seconds,
    )


async def measure(size: int, seconds: float) -> tuple[Cost, Cost]:
    """Return the costs of one fleet: idle, and with register changes."""
    with tempfile.TemporaryDirectory() as directory:
        key_file = Path(directory) / 'fleet.key'
        key_file.write_bytes(FLEET_KEY)
        routers = await start_fleet(size, key_file)
    idle = await measure_costs(routers, seconds)
    changes = asyncio.create_task(change_registers(routers[0]))
    busy = await measure_costs(routers, seconds)
    changes.cancel()
    for router in routers:
        await router.kernel.stop()
    return idle, busy


def render_cost(cost: Cost) -> str:
    """Return one row of the table of costs."""
    return (
        f'{cost.routers:5}  {cost.links:5.1f}'
        f'  {cost.core_microseconds:7.0f}'
        f'  {cost.core_microseconds / MICROSECONDS:7.3%}'
        f'  {cost.frames:6.1f}  {cost.bytes_sent:10.0f}'
    )


def render_slopes(costs: list[Cost]) -> list[str]:
    """Return the least-squares slopes over the number of links."""
    links = [cost.links for cost in costs]
    lines: list[str] = []
    for name in ('core_microseconds', 'frames', 'bytes_sent'):
        totals_by_size = [getattr(cost, name) for cost in costs]
        slope, intercept = np.polyfit(links, totals_by_size, 1)
        lines.append(f'{name}: {slope:.1f} for each link, {intercept:+.1f}')
    return lines


def render_table(title: str, costs: list[Cost]) -> str:
    """Return the costs and their slopes."""
    lines = [
        f'\n{title}, for each router and second',
        '  VMs  links  core us   core %  frames  bytes sent',
        *[render_cost(cost) for cost in costs],
    ]
    if len(costs) > 1:
        lines += render_slopes(costs)
    return '\n'.join(lines)


def main() -> None:
    """Measure fleets of the sizes given and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, nargs='+', default=[8, 16, 32, 64])
    parser.add_argument('--seconds', type=float, default=10)
    arguments = parser.parse_args()
    idle: list[Cost] = []
    busy: list[Cost] = []
    for size in arguments.sizes:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            costs = runner.run(measure(size, arguments.seconds))
        idle.append(costs[0])
        busy.append(costs[1])
    loads = ', '.join(f'{load:.1f}' for load in os.getloadavg())
    lines = [
        f'{os.cpu_count()} processors, load average {loads}',
        render_table('Idle', idle),
        render_table('One register change of 256 bytes a second', busy),
    ]
    sys.stdout.write('\n'.join([*lines, '']))


if __name__ == '__main__':
    main()
