"""Life cycle of a stand-in's process."""

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
import uvloop

from pollenloom_standins.serving.ready_line import ReadyLine

if TYPE_CHECKING:
    from pollenloom.kernel.kernel import Kernel


def run_until_terminated(
    kernel: 'Kernel',
    ready_line: Callable[[], ReadyLine],
) -> None:
    """Run the kernel's services in this process until SIGTERM or SIGINT."""
    # libuv reads the variable when it creates the loop. io_uring is not
    # available where the stand-ins run.
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop.run(serve(kernel, ready_line))


async def serve(
    kernel: 'Kernel',
    ready_line: Callable[[], ReadyLine],
) -> None:
    """Start the services, print the ready line and wait for a signal."""
    terminated = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    await kernel.start()
    print_line(ready_line())
    await terminated.wait()
    await kernel.stop()


def print_line(line: ReadyLine) -> None:
    """Print one JSON line and flush it: the parent process waits for it."""
    sys.stdout.write(f'{msgspec.json.encode(line).decode()}\n')
    sys.stdout.flush()
