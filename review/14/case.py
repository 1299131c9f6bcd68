"""A machine is stopped while a worker with a long queue resets new channels.

Streams that began before go on at the worker, name no length and end with
their channels. With TROUBLE=0 the worker takes new channels.
"""

import asyncio
import signal
import socket
import struct
import time
from pathlib import Path

from standins_3 import (
    Client,
    Node,
    Store,
    answer_head,
    configuration,
    entry,
    has_trouble,
    read_headers,
    route,
    run_case,
)

HERE = Path(__file__).resolve().parent
SERVICE = 'loom-servers'
STREAMS = 6
EVENTS = 40
GAP_SECONDS = 0.1
LAST = f'data: {EVENTS} of {EVENTS}'
TERM_SECONDS = 1.0
GRACE_SECONDS = 8.0


class FullWorker:
    """A worker that serves its channels and may reset new ones."""

    def __init__(self, record):
        self.record = record
        self.is_full = False
        self.resets = 0
        self.runs = []
        self.finished = {}
        self.address = ''

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def serve(self, reader, writer):
        """Answer the one request of a channel, or reset the channel."""
        if self.is_full:
            self.resets += 1
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
            return
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            headers = read_headers(head)
            await reader.readexactly(int(headers.get('content-length', 0)))
            request_id = headers['x-pollenloom-attempt-id']
            self.runs.append(request_id)
            writer.write(
                answer_head(headers, 'Content-Type: text/event-stream')
            )
            for number in range(1, EVENTS + 1):
                await asyncio.sleep(GAP_SECONDS)
                event = f'id: {number}\ndata: {number} of {EVENTS}\n\n'
                writer.write(event.encode())
                await writer.drain()
            self.finished[request_id] = time.monotonic()
            self.record.line(f'the worker has ended {request_id}')
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            """The channel or the script has ended."""
        finally:
            writer.close()


async def case(record, folder, stack):
    """Return whether answers that the worker had ended were cut."""
    store = Store()
    address = await store.start()
    worker = FullWorker(record)
    await worker.start()
    routes = [route('minutes-draft', 'streaming', '/draft/', SERVICE)]
    store.write('keyed.op', 'config', configuration(1, routes, [SERVICE]))
    born = int(time.time() * 1000)
    store.write(
        'keyed.servers', 'i-1', entry(SERVICE, worker.address, born, 1)
    )
    node = Node(folder, address)
    stack.callback(node.stop)
    node.start()
    if not await node.ready():
        return None
    fetched = {}
    for number in range(STREAMS):
        request_id = f'stream-{number}'
        client = Client(node.callers)
        stack.callback(client.close)
        fetched[request_id] = asyncio.create_task(
            client.fetch(f'/draft/{number}', request_id)
        )
    await asyncio.sleep(TERM_SECONDS)
    if len(worker.runs) != STREAMS:
        return None
    record.line(f'{STREAMS} streams run')
    worker.is_full = has_trouble()
    if worker.is_full:
        record.line('the queue of the worker is long: it resets new channels')
    stopped_at = time.monotonic()
    node.process.send_signal(signal.SIGTERM)
    record.line('SIGTERM to the machine')
    lost = 0
    for request_id, task in fetched.items():
        answer = await task
        is_whole = answer.is_complete and LAST in answer.body.decode()
        ended = worker.finished.get(request_id)
        after = 'not ended' if ended is None else f'{ended - stopped_at:.2f} s'
        record.line(
            f'client got {request_id}: {answer}; the worker had ended it: '
            f'{after} after SIGTERM'
        )
        # The last sixth of the grace is excused, and a worker that broke off.
        if ended is None or ended - stopped_at > GRACE_SECONDS * 5 / 6:
            return None
        lost += not is_whole
    record.line(
        f'{worker.resets} new channels were reset; '
        f'{lost} of {STREAMS} whole answers were cut'
    )
    return lost > 0


run_case(case, HERE)
