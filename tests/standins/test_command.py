"""Start and stop of the stand-ins by their command."""

import asyncio
import json
import os
import sys

import pytest

TIMEOUT_SECONDS = 30


@pytest.mark.parametrize(
    'arguments',
    [
        ('platform', '--retention-seconds', '5', '--list-lag-seconds', '1.5'),
        ('engine', '--fencing', 'ignore', '--cold-overload', 'slow'),
        ('application', '--bad-kind', 'slow', '--deduplicates'),
        ('relay', '--target', '127.0.0.1:9'),
    ],
)
async def test_prints_its_address_and_stops(arguments: tuple[str, ...]) -> None:
    """Guards against stand-ins that do not become ready or do not stop."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'pollenloom_standins',
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
    )
    assert process.stdout is not None
    async with asyncio.timeout(TIMEOUT_SECONDS):
        line = json.loads(await process.stdout.readline())
        host, port = line['ready'].split(':')
        _, writer = await asyncio.open_connection(host, int(port))
        process.terminate()
        assert await process.wait() == 0
        writer.close()
