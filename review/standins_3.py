"""Stand-ins for the platform's store, a worker and a client, for review/11 on.

They follow PROTOCOL.md, use the standard library only, and listen on loopback
addresses, in the process of the script.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TEMPLATE = ROOT / 'src/pollenloom/platform/node.template.toml'
HOST = 'shop.example'
KEY = 'key-of-the-shop'
# Bounds of the small deployment `carromwerk`.
BOUNDS = {
    'grace_s': 8,
    'retry_budget_ratio': 0.2,
    'budget_min_retries': 54,
    'budget_window_s': 10,
    'canary_share': 0.1,
}
LIMITS = {
    'cpu_share': 0.537,
    'cpu_cores': 2,
    'memory_mb': 300,
    'max_fds': 4100,
}


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self.began = time.monotonic()

    def line(self, text):
        """Write one line with the seconds since the start."""
        self.file.write(f'{time.monotonic() - self.began:8.3f}  {text}\n')
        self.file.flush()


def has_trouble():
    """Whether the script is to bring the disruption about."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(case, folder):
    """Run a case and exit: 1 broken, 0 held, 2 could not run.

    A case gets its record, a temporary folder and an exit stack, and returns
    whether the rule was broken, or None if it could not run.
    """

    async def run():
        record = Record(folder)
        with tempfile.TemporaryDirectory() as temporary:
            async with contextlib.AsyncExitStack() as stack:
                try:
                    async with asyncio.timeout(115):
                        broken = await case(record, temporary, stack)
                except Exception as error:
                    record.line(f'could not run: {error!r}')
                    broken = None
        names = {True: 'BROKEN', False: 'HELD', None: 'COULD NOT RUN'}
        record.line(f'trouble={int(has_trouble())}: {names[broken]}')
        print(names[broken])
        return {True: 1, False: 0, None: 2}[broken]

    sys.exit(asyncio.run(run()))


def read_headers(head):
    """Return the headers of a message by lower-case name."""
    lines = head.split('\r\n')[1:]
    split = [line.partition(':') for line in lines if ':' in line]
    return {name.lower(): text.strip() for name, _, text in split}


def free_port(host='127.0.0.1'):
    """Return a port that is free now, below those that outgoing channels get."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as found:
            try:
                found.bind((host, port))
            except OSError:
                continue
            return port


class Store:
    """The platform's store: keyed topics, long reads, appends at an offset."""

    def __init__(self):
        self.records = {}
        self.first = {}
        self.changed = asyncio.Event()
        self.era = 1
        self.host = '127.0.0.1'
        self.port = 0

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]
        self.server = server
        return f'{self.host}:{self.port}'

    def write(self, topic, key, value):
        """Append one record; an empty value drops the key."""
        log = self.records.setdefault(topic, [])
        payload = value if isinstance(value, bytes) else json.dumps(value).encode()
        log.append((key, payload))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(log) - 1

    def newest(self, topic):
        """Return offset and value of the newest record of each key."""
        found = {}
        for offset, (key, value) in enumerate(self.records.get(topic, [])):
            found[key] = (offset, value)
        return {key: pair for key, pair in found.items() if pair[1]}

    async def serve(self, reader, writer):
        """Answer the calls of one channel."""
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                method, target, _ = head.split('\r\n')[0].split(' ')
                length = 0
                for line in head.split('\r\n')[1:]:
                    if line.lower().startswith('content-length:'):
                        length = int(line.split(':')[1])
                body = await reader.readexactly(length)
                path, _, query = target.partition('?')
                fields = dict(
                    part.split('=', 1) for part in query.split('&') if '=' in part
                )
                status, answer = await self.answer(method, path, fields, body)
                writer.write(
                    f'HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n'
                    f'Content-Length: {len(answer)}\r\n\r\n'.encode() + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            """The channel or the script has ended."""
        finally:
            writer.close()

    async def answer(self, method, path, fields, body):
        """Return status and body of the answer to one call."""
        topic = fields.get('topic', '')
        log = self.records.setdefault(topic, [])
        if path == '/log-newest':
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (offset, value) in self.newest(topic).items()
            ]
            text = {'items': items, 'truncated': False, 'end': len(log)}
            return 200, json.dumps(text).encode()
        if path == '/log-read':
            start = int(fields.get('from', 0))
            end = time.monotonic() + int(fields.get('wait_ms', 0)) / 1000
            while len(log) <= start and time.monotonic() < end:
                try:
                    async with asyncio.timeout(end - time.monotonic()):
                        await self.changed.wait()
                except TimeoutError:
                    break
            if start > len(log):
                return 410, json.dumps({'first': 0}).encode()
            parts = [struct.pack('>QQ', len(log), 0)]
            for key, value in log[start:]:
                content = bytes((len(key),)) + key.encode() + value
                parts.append(struct.pack('>I', len(content)) + content)
            return 200, b''.join(parts)
        if path == '/log-append':
            if topic in ('keyed.op', 'keyed.servers'):
                return 403, b'{}'
            if 'at' in fields and int(fields['at']) != len(log):
                return 412, json.dumps({'end': len(log)}).encode()
            first = len(log)
            rest = body
            while rest:
                size = struct.unpack('>I', rest[:4])[0]
                content = rest[4 : 4 + size]
                rest = rest[4 + size :]
                name = content[1 : 1 + content[0]].decode()
                self.write(topic, name, content[1 + content[0] :])
            return 200, json.dumps({'offset': first, 'end': len(log)}).encode()
        return 404, b'{}'


def route(name, kind, path, service, **changes):
    """Return one route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': path,
        'route_type': kind,
        'timeout_ms': 15000,
        'target_latency_ms': 800,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        'public': False,
        'resumable': False,
        **changes,
    }


def configuration(version, routes, services, keys=(KEY,), **changes):
    """Return a configuration with one tenant."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'cold_start_s': 0, 'cold_per_s': 0}
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'shop', 'api_keys': list(keys)}],
        **changes,
    }


def entry(service, address, born, seq, state='ready', **changes):
    """Return the entry that a worker writes about itself."""
    return {
        'service': service,
        'address': address,
        'zone': 'enschede',
        'version': 'v1',
        'slots': 32,
        'state': state,
        'cold_remaining_ms': 0,
        'seq': seq,
        'born': born,
        **changes,
    }


class Node:
    """One process of the system: the `run` line of the deploy file."""

    def __init__(self, folder, store, name='edge-1', host='127.0.0.1',
                 memory_mb=300):
        self.name = name
        self.host = host
        self.callers = f'{host}:{free_port(host)}'
        self.readiness = f'{host}:{free_port(host)}'
        first, last = free_port(host), free_port(host)
        values = {
            'node_name|json': json.dumps(name),
            'zone|json': '"enschede"',
            'listen.frontend|json': json.dumps(self.callers),
            'listen.readiness|json': json.dumps(self.readiness),
            'ip': host,
            'internal_port_range.0': str(first),
            'internal_port_range.1': str(last),
            'platform.address|json': json.dumps(store),
            **{f'bounds.{key}': str(value) for key, value in BOUNDS.items()},
            **{f'limits.{key}': str(value) for key, value in LIMITS.items()},
            'limits.memory_mb': str(memory_mb),
        }
        text = TEMPLATE.read_text(encoding='utf-8')
        text = text[: text.index('{{#cloud')]
        for key, value in values.items():
            text = text.replace('{{' + key + '}}', value)
        self.settings = Path(folder) / f'{name}.toml'
        self.settings.write_text(text, encoding='utf-8')
        self.log = Path(folder) / f'{name}.log'
        self.process = None

    def start(self):
        """Start the process, as the platform does."""
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/tmp'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'POLLENLOOM_CONFIG': str(self.settings),
        }
        # The run line of deploy/system.toml; the bench starts it likewise.
        words = ['python3', '-m', 'pollenloom.node']
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    @property
    def resident_megabytes(self):
        """Memory that the process holds now."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        return int(status.split('VmRSS:')[1].split()[0]) / 1024

    def stop(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def ready(self, seconds=20):
        """Wait until the process says that it is ready."""
        end = time.monotonic() + seconds
        host, port = self.readiness.split(':')
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b' 200 ' in line:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False


class Worker:
    """A worker in the process of the script.

    `respond` is called with the head, the headers and the writer of each
    request that it runs; `runs` has their ids.
    """

    def __init__(self, respond):
        self.respond = respond
        self.runs = []
        self.address = ''

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]
        self.server = server

    async def serve(self, reader, writer):
        """Answer the requests of one channel."""
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                headers = read_headers(head)
                await reader.readexactly(int(headers.get('content-length', 0)))
                self.runs.append(headers['x-pollenloom-attempt-id'])
                await self.respond(head, headers, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            """The channel or the script has ended."""
        finally:
            writer.close()


def answer_head(headers, *lines):
    """Return the head of a worker's answer."""
    request_id = headers['x-pollenloom-attempt-id']
    return '\r\n'.join(
        (
            'HTTP/1.1 200 OK',
            f'X-Pollenloom-Attempt-Id: {request_id}',
            'X-Pollenloom-Response-Seal: 3e1b.07',
            *lines,
            '',
            '',
        )
    ).encode()


def chunk(part):
    """Return one chunk of a body."""
    return b'%x\r\n%b\r\n' % (len(part), part)


class Answer:
    """What a client received."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_complete = False
        self.error = ''

    def __repr__(self):
        whole = 'complete' if self.is_complete else f'cut ({self.error})'
        return f'{self.status} {len(self.body)} bytes {whole}'


class Client:
    """One channel of a client."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def connect(self):
        """Open the channel."""
        host, port = self.address.split(':')
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def close(self):
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    def send(self, path, request_id, body=b'', method='POST', key=KEY,
             deadline_ms=15000, **headers):
        """Write a request."""
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Pollenloom-Attempt-Id: {request_id}',
            f'X-Pollenloom-Deadline-Ms: {deadline_ms}',
            f'Api-Key: {key}',
        ]
        names = {name.lower() for name in headers}
        if (body or method == 'POST') and 'content-length' not in names:
            lines.append(f'Content-Length: {len(body)}')
        lines += [f'{name}: {text}' for name, text in headers.items()]
        self.writer.write('\r\n'.join([*lines, '', '']).encode() + body)

    async def fetch(self, path, request_id, seconds=20, **request):
        """Send a request on this channel and read the answer to its end."""
        answer = Answer()
        try:
            async with asyncio.timeout(seconds):
                if self.writer is None:
                    await self.connect()
                self.send(path, request_id, **request)
                await self.read(answer, request.get('method', 'POST'))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError) as error:
            answer.error = repr(error)[:80]
            self.close()
        if answer.headers.get('connection') == 'close':
            self.close()
        return answer

    async def read(self, answer, method='POST'):
        """Read one answer; there is no body in that to HEAD."""
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.rstrip().split('\r\n')
        if not first.startswith('HTTP/1.1 '):
            raise ValueError(f'not a status line: {first[:60]!r}')
        answer.status = int(first.split()[1])
        for line in lines:
            name, _, text = line.partition(':')
            answer.headers[name.lower()] = text.strip()
        if method == 'HEAD':
            """The next bytes on the channel belong to the next answer."""
        elif answer.headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int(await self.reader.readuntil(b'\r\n'), 16)
                part = await self.reader.readexactly(size + 2)
                answer.body += part[:-2]
                if not size:
                    break
        else:
            length = int(answer.headers['content-length'])
            while len(answer.body) < length:
                part = await self.reader.read(length - len(answer.body))
                if not part:
                    raise ValueError('closed inside the body')
                answer.body += part
        answer.is_complete = True
