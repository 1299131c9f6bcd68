"""Command line of the hot path measurement."""

import argparse
import asyncio
import sys
import tempfile
from contextlib import AsyncExitStack, ExitStack
from pathlib import Path
from typing import Final

import aiohttp

from pollenloom_standins.capacity.code_version import CodeVersion, checked_out
from pollenloom_standins.capacity.hot_path_experiment import (
    HotPathExperiment,
    HotPathSizes,
)
from pollenloom_standins.capacity.hot_path_fleet import HotPathFleet
from pollenloom_standins.capacity.hot_path_load import (
    HotPathLoad,
    UnexpectedResponseError,
)
from pollenloom_standins.capacity.hot_path_report import report_lines
from pollenloom_standins.fleet.managed_process import ManagedProcess

# Enough for the last lines of a router's event log.
LOG_TAIL_CHARACTERS: Final = 4000


def read_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--before', help='git revision to compare with')
    parser.add_argument('--streams', type=int, default=24)
    parser.add_argument('--accounts', type=int, default=16)
    parser.add_argument('--rounds', type=int, default=5)
    parser.add_argument('--concurrency', type=int, default=3)
    parser.add_argument('--interval', type=float, default=0.01)
    parser.add_argument(
        '--events',
        type=int,
        nargs='*',
        default=(16, 64, 160),
    )
    parser.add_argument(
        '--calls',
        type=int,
        nargs='*',
        default=(60, 120, 240),
    )
    return parser.parse_args()


def measure_hot_path(root: Path) -> None:
    """Measure the working tree and, with `--before`, an earlier revision.

    Args:
        root: Root directory of the checkout.
    """
    arguments = read_arguments()
    with ExitStack() as stack:
        directory = Path(
            stack.enter_context(
                tempfile.TemporaryDirectory(prefix='pollenloom-'),
            ),
        )
        versions = [CodeVersion('working tree', root)]
        if arguments.before:
            before = checked_out(root, arguments.before, directory)
            versions.insert(0, stack.enter_context(before))
        asyncio.run(measure(arguments, versions, directory))


async def measure(
    arguments: argparse.Namespace,
    versions: list[CodeVersion],
    directory: Path,
) -> None:
    """Start the fleets, run the experiment and print the report.

    The logs of the routers go to standard error if a call fails.
    """
    server = ManagedProcess(
        'fast-server',
        (
            sys.executable,
            '-m',
            'pollenloom_standins.capacity.fast_server',
            str(arguments.interval),
        ),
        directory,
    )
    async with AsyncExitStack() as stack:
        stack.push_async_callback(server.kill)
        await server.start()
        fleets: dict[str, HotPathFleet] = {}
        for number, version in enumerate(versions):
            target = directory / f'fleet-{number}'
            fleet = HotPathFleet(version, target, arguments.accounts)
            stack.push_async_callback(fleet.stop)
            await fleet.start(server.ready['ready'])
            fleets[version.label] = fleet
        # The account in the middle of the list represents the average one.
        opened = HotPathLoad.opened(arguments.accounts // 2)
        load = await stack.enter_async_context(opened)
        experiment = HotPathExperiment(fleets, load, read_sizes(arguments))
        try:
            await experiment.run()
        except (aiohttp.ClientError, UnexpectedResponseError):
            sys.stderr.write(router_logs(fleets))
            raise
    for line in report_lines(experiment):
        sys.stdout.write(f'{line}\n')


def router_logs(fleets: dict[str, HotPathFleet]) -> str:
    """Return the end of each router's log and whether the router runs."""
    return '\n'.join(
        f'{label} {vm}, running: {router.is_running}\n'
        f'{router.log_path.read_text()[-LOG_TAIL_CHARACTERS:]}'
        for label, fleet in fleets.items()
        for vm, router in fleet.routers.items()
    )


def read_sizes(arguments: argparse.Namespace) -> HotPathSizes:
    """Return the sizes given on the command line."""
    return HotPathSizes(
        streams=arguments.streams,
        events=tuple(arguments.events),
        calls=tuple(arguments.calls),
        concurrency=arguments.concurrency,
        rounds=arguments.rounds,
    )
