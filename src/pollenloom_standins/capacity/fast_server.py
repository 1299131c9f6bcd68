"""Process of the fast stand-in for model engines and applications.

It does as little as possible for each request, so that the router is the
bottleneck of a measurement.
"""

import asyncio
import os
import signal
import sys

import uvloop

from pollenloom_standins.capacity.fast_protocol import FastProtocol
from pollenloom_standins.serving.ready_line import ReadyLine
from pollenloom_standins.serving.runner import print_line


async def serve(interval: float) -> None:
    """Listen on a free port until SIGTERM; print the address when ready.

    Args:
        interval: Seconds between two events of a stream.
    """
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    server = await loop.create_server(
        lambda: FastProtocol(interval),
        '127.0.0.1',
        0,
    )
    host, port = server.sockets[0].getsockname()
    print_line(ReadyLine(ready=f'{host}:{port}'))
    await terminated.wait()


def main() -> None:
    """Serve; the first argument is the event interval in seconds."""
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop.run(serve(float(sys.argv[1])))


if __name__ == '__main__':
    main()
