"""Fast stand-in of model engines and applications, as a process.

It does nothing but answer, so that a router is what limits the rate.
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
    """Listen on a free port until SIGTERM."""
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
    """Serve with the interval of the first argument, in seconds."""
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop.run(serve(float(sys.argv[1])))


if __name__ == '__main__':
    main()
