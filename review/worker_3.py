"""A worker of its own process, for review/11 on; its answers name no length.

Usage: worker_3.py PORT COUNT GAP_MS. It answers each request with COUNT events
(paths that begin with /draft/) or lines, one each GAP_MS, and closes the
channel behind the last one. It prints a line for each request that it runs and
for each answer that it has finished.
"""

import asyncio
import sys

from standins_3 import read_headers


async def answer(reader, writer, count, gap_seconds):
    """Answer the one request of a channel."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        headers = read_headers(head)
        await reader.readexactly(int(headers.get('content-length', 0)))
        request_id = headers['x-pollenloom-attempt-id']
        is_stream = head.split(' ')[1].startswith('/draft/')
        kind = 'text/event-stream' if is_stream else 'text/plain'
        print(f'runs {request_id}', flush=True)
        writer.write(
            'HTTP/1.1 200 OK\r\n'
            f'X-Pollenloom-Attempt-Id: {request_id}\r\n'
            'X-Pollenloom-Response-Seal: 3e1b.07\r\n'
            f'Content-Type: {kind}\r\nConnection: close\r\n\r\n'.encode()
        )
        for number in range(1, count + 1):
            await asyncio.sleep(gap_seconds)
            text = f'{number} of {count}'
            part = f'id: {number}\ndata: {text}\n\n' if is_stream else f'{text}\n'
            writer.write(part.encode())
            await writer.drain()
        print(f'finished {request_id}', flush=True)
    except (asyncio.IncompleteReadError, OSError):
        """The channel was closed."""
    finally:
        writer.close()


async def main(port, count, gap_ms):
    """Listen until the process is ended."""
    server = await asyncio.start_server(
        lambda reader, writer: answer(reader, writer, count, gap_ms / 1000),
        '127.0.0.1',
        port,
    )
    print('listens', flush=True)
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(*map(int, sys.argv[1:])))
