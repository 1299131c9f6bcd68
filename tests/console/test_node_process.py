"""Life cycle of a router on a VM of the users' platform."""

import asyncio
import signal
from contextlib import AsyncExitStack
from pathlib import Path

import msgspec
import pytest

from pollenloom.console.exit_code import ExitCode
from pollenloom_standins.node_soak.soak_node import SoakNode
from tests.fakes.router_fixtures import open_store
from tests.gateway.conftest import READY_SECONDS, make_configuration


@pytest.mark.parametrize(
    ('repeated', 'code'),
    [
        (signal.SIGTERM, ExitCode.OK),
        (signal.SIGHUP, ExitCode.OK),
        (signal.SIGINT, ExitCode.SECOND_SIGNAL),
    ],
)
async def test_repeated_sigterm_does_not_end_the_drain(
    repeated: signal.Signals, code: ExitCode, tmp_path: Path
) -> None:
    """Guards against requests that a repeated SIGTERM cuts.

    The platform ends a process by SIGKILL; a person ends it by Ctrl-C.
    """
    async with AsyncExitStack() as stack:
        store, address = await open_store(stack)
        configuration = msgspec.json.encode(make_configuration())
        await store.write('keyed.op', 'config', configuration)
        node = SoakNode('n1', 'enschede', address, tmp_path, stop_seconds=5)
        await node.start()
        stack.push_async_callback(node.kill)
        await node.wait_until_ready()
        node.send_signal(signal.SIGTERM)
        async with asyncio.timeout(READY_SECONDS):
            while 'router_stopping' not in node.log_path.read_text('utf-8'):
                await asyncio.sleep(0.01)
        node.send_signal(repeated)
        assert await node.wait() == code
