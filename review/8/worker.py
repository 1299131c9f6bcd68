"""A worker in trouble: endless bytes as the answer to requests under /bad/.

Arguments: its id, then `sound` or `trouble`.
"""

import asyncio
import sys
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import read_head

ME, MODE = sys.argv[1:3]
# A prompt is read first; then come the events of the answer.
READ_SECONDS = 1.0
EVENTS = 10
# Chunks of two bytes, 64 KiB of them a write.
ENDLESS = b'2\r\nno\r\n' * 9362


async def serve(reader, writer) -> None:
    """Serve the requests of one channel, one at a time."""
    with suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            first, headers = await read_head(reader)
            await reader.readexactly(int(headers.get('content-length', 0)))
            await answer(first.split(' ')[1], headers, writer)
    writer.close()


async def answer(path, headers, writer) -> None:
    """Answer one request."""
    request_id = headers['x-pollenloom-attempt-id']
    if headers.get('x-pollenloom-expect-instance') != ME:
        writer.write(
            b'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n'
        )
        return
    print('run', request_id, path, flush=True)
    seal = (
        f'X-Pollenloom-Attempt-Id: {request_id}\r\n'
        'X-Pollenloom-Response-Seal: 3e1b.07\r\n'
    ).encode()
    if path.startswith('/bad/'):
        if MODE == 'sound':
            writer.write(
                b'HTTP/1.1 500 Error\r\n' + seal
                + b'Content-Length: 6\r\n\r\nfailed'
            )
            return
        writer.write(
            b'HTTP/1.1 500 Error\r\n' + seal
            + b'Transfer-Encoding: chunked\r\n\r\n'
        )
        while True:
            writer.write(ENDLESS)
            await writer.drain()
    await asyncio.sleep(READ_SECONDS)
    writer.write(
        b'HTTP/1.1 200 OK\r\n' + seal
        + b'Content-Type: text/event-stream\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )
    for number in range(1, EVENTS + 1):
        event = f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
        writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.2)
    writer.write(b'0\r\n\r\n')
    await writer.drain()


async def main() -> None:
    """Listen on a free port and print the address."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    print('127.0.0.1:%d' % server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


asyncio.run(main())
