"""Stand-ins for the scripts of the second review; Python's library only.

The platform (its store, its balancer's readiness checks, its memory limit),
workers as processes of their own, and clients. All addresses are loopback
addresses. What a page says of each stand-in is quoted where it is not plain.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEAD_END = b'\r\n\r\n'
HOST = 'ficu95.example'
KEY = 'asnmgkcuyj8pjbvk9m68'
TENANT = 'hule930'
HEARTBEAT_SECONDS = 1.2
# Exit codes of the scripts.
HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free at a loopback address."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """Lines of record.txt with the time since the start, in seconds."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')

    def __call__(self, text: str) -> None:
        """Write one line to the record and to standard output."""
        line = f'{time.monotonic() - self.began:8.3f} {text}'
        print(line, file=self.file, flush=True)
        print(line, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a head; return its first line and headers in lower case."""
    text = (await reader.readuntil(HEAD_END)).decode('latin-1')
    first, *lines = text.rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.changed = asyncio.Condition()
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % self.server.sockets[0].getsockname()[1]

    async def write(self, topic: str, key: str, value: bytes) -> int:
        """Append a record; return its offset."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        async with self.changed:
            self.changed.notify_all()
        return len(records) - 1

    async def serve(self, reader, writer) -> None:
        """Answer the calls on one channel."""
        ends = (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        )
        with suppress(*ends):
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(
                    int(headers.get('content-length', 0))
                )
                method, target, _ = first.split(' ')
                status, kind, content = await self.answer(method, target, body)
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n'
                    f'Store-Era: 1\r\nContent-Length: {len(content)}\r\n\r\n'
                    .encode() + content
                )
                await writer.drain()
        writer.close()

    async def answer(self, method, target, body) -> tuple[int, str, bytes]:
        """Return status, content type and body of the answer to a call."""
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        topic = query.get('topic', '')
        records = self.topics.setdefault(topic, [])
        if (method, parts.path) == ('POST', '/log-append'):
            if 'at' in query and int(query['at']) != len(records):
                return json_answer(412, {'end': len(records)})
            offset = len(records)
            while body:
                size = struct.unpack('>I', body[:4])[0]
                content, body = body[4 : 4 + size], body[4 + size :]
                cut = 1 + content[0]
                await self.write(topic, content[1:cut].decode(), content[cut:])
            return json_answer(200, {'offset': offset, 'end': len(records)})
        if (method, parts.path) == ('GET', '/log-read'):
            return await self.read(records, query)
        if (method, parts.path) == ('GET', '/log-newest'):
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (value, offset)
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (value, offset) in newest.items()
                if value
            ]
            return json_answer(
                200, {'items': items, 'truncated': False, 'end': len(records)}
            )
        return json_answer(404, {})

    async def read(self, records, query) -> tuple[int, str, bytes]:
        """Answer a read as soon as a record is there, or its wait is over."""
        start = int(query['from'])
        if start > len(records):
            return json_answer(410, {'first': 0})
        with suppress(TimeoutError):
            async with asyncio.timeout(int(query.get('wait_ms', 0)) / 1000):
                async with self.changed:
                    await self.changed.wait_for(lambda: len(records) > start)
        page = struct.pack('>QQ', len(records), 0)
        for key, value in records[start:]:
            name = key.encode()
            content = bytes((len(name),)) + name + value
            page += struct.pack('>I', len(content)) + content
        return 200, 'application/octet-stream', page


def json_answer(status: int, content) -> tuple[int, str, bytes]:
    """Return an answer with a JSON body."""
    return status, 'application/json', json.dumps(content).encode()


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Return a route as in the example of `fleetbench wire`."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'route_type': kind,
        'timeout_ms': 1000,
        'target_latency_ms': 100,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        'public': False,
        'sticky': False,
        'resumable': False,
        **more,
    }


def configuration(version: int, routes: list, services: list) -> bytes:
    """Return the value of op/config."""
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': name,
                    'health_path': '/healthz',
                    'max_connections': channels,
                    'protocol': 'h1',
                    'tls': False,
                    'cold_start_s': 0.0,
                    'cold_per_s': 0.0,
                }
                for name, channels in services
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
                'tokens_per_s': 200000,
            },
            'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
        }
    ).encode()


def entry(service: str, address: str, **changes) -> bytes:
    """Return the value of a worker's entry in the store."""
    return json.dumps(
        {
            'service': service,
            'address': address,
            'zone': 'enschede',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'seq': 1,
            'born': int(time.time() * 1000),
            **changes,
        }
    ).encode()


def stock(request_id: str) -> bytes:
    """Return the body of the answer to a stock read, 800 bytes."""
    text = f'{{"read":"{request_id}","boards":['
    number = 0
    while len(text) < 790:
        number += 1
        text += f'{number % 10},'
    return (text + '0]}').ljust(800).encode()


class Node:
    """A router: the command of the deploy file on a machine of its own."""

    def __init__(self, name, store, folder, record, memory_mb=300) -> None:
        self.name = name
        self.record = record
        self.memory_mb = memory_mb
        self.folder = folder
        host = '127.0.0.1'
        self.frontend = f'{host}:{free_port(host)}'
        self.readiness = f'{host}:{free_port(host)}'
        metrics = f'{host}:{free_port(host)}'
        peers = f'{host}:{free_port(host, socket.SOCK_DGRAM)}'
        self.settings = folder / f'{name}.toml'
        # As `fleetbench wire` shows the template of settings filled in.
        self.settings.write_text(
            f'vm = "{name}"\ndata_centre = "enschede"\n'
            f'[listen]\ncallers = "{self.frontend}"\n'
            f'readiness = "{self.readiness}"\nmetrics = "{metrics}"\n'
            f'peers = "{peers}"\n[store]\naddress = "{store}"\n'
            '[bounds]\nstop_seconds = [8]\nretry_ratio = [0.2]\n'
            'retry_reserve = [54]\nretry_window_seconds = [10]\n'
            'trial_share = [0.1]\n[machine]\nprocessor_share = [0.537]\n'
            f'processor_speed = [2]\nmemory_megabytes = [{memory_mb}]\n'
            'max_descriptors = [4100]\n',
            encoding='utf-8',
        )
        self.process = None

    async def start(self) -> None:
        """Start the process as DEPLOY.md says; its output goes to a file."""
        log = (self.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            'python3',
            '-m',
            'pollenloom.node',
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'POLLENLOOM_CONFIG': str(self.settings),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
            },
        )
        log.close()

    async def is_ready(self) -> bool:
        """Whether the balancer's check gets 200."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await connect(self.readiness)
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                first, _ = await read_head(reader)
                writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return ' 200' in first

    async def wait_ready(self, seconds: float = 20) -> None:
        """Wait for two checks in a row that get 200."""
        end = time.monotonic() + seconds
        good = 0
        while good < 2:
            good = good + 1 if await self.is_ready() else 0
            if time.monotonic() > end or self.process.returncode is not None:
                raise CannotRun(f'{self.name} did not become ready')
            await asyncio.sleep(0.3)

    def memory(self) -> float:
        """Resident memory in MB; 0 when the process has ended."""
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text('utf-8')
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
        return 0.0

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class WorkerProcess:
    """A worker as a process of its own: `CASE/worker.py` with arguments."""

    def __init__(self, script: Path, folder: Path, name: str) -> None:
        self.script, self.folder, self.name = script, folder, name
        self.address = ''
        self.process = None

    async def start(self, *arguments: str) -> None:
        """Start it; it prints its address and then one line an event."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(self.script),
            self.name,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL,
        )
        line = await asyncio.wait_for(self.process.stdout.readline(), 10)
        self.address = line.decode().strip()
        if not self.address:
            raise CannotRun(f'{self.name} did not start')

    async def lines(self):
        """Yield what the worker says it did."""
        while line := await self.process.stdout.readline():
            yield line.decode().strip()

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()


async def log_lines(worker, record, on_line=None) -> None:
    """Record what a worker says it did; pass each line on."""
    async for line in worker.lines():
        record(f'{worker.name}: {line}')
        if on_line is not None:
            on_line(line)


class CannotRun(Exception):
    """The case could not be set up."""


async def connect(address: str):
    """Open a channel to a loopback address."""
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


class Answer:
    """What a client got for one request."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        # Whether the answer marks its end, and that end has come.
        self.is_complete = False
        self.problem = ''

    @property
    def outcome(self) -> str:
        """The answer in a word."""
        if self.status and not self.is_complete:
            return f'cut after status {self.status}'
        return str(self.status) if self.status else f'none ({self.problem})'


async def ask(reader, writer, method, path, request_id, body=b'', **more):
    """Send a request on an open channel and read its answer."""
    headers = {
        'Host': HOST,
        'X-Pollenloom-Attempt-Id': request_id,
        'Api-Key': KEY,
        **more,
    }
    if body or method == 'POST':
        headers['Content-Length'] = str(len(body))
    head = f'{method} {path} HTTP/1.1\r\n' + ''.join(
        f'{name}: {value}\r\n' for name, value in headers.items()
    )
    answer = Answer()
    try:
        writer.write(head.encode() + b'\r\n' + body)
        await read_answer(reader, answer)
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        if isinstance(error, asyncio.IncompleteReadError):
            answer.body += error.partial if answer.status else b''
        answer.problem = type(error).__name__
    return answer


async def read_answer(reader, answer: Answer) -> None:
    """Read one answer that has a length or comes in chunks."""
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split(' ')[1])
    if answer.headers.get('transfer-encoding') == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).strip(), 16)
            part = await reader.readexactly(size + 2)
            answer.body += part[:-2]
            if not size:
                break
    else:
        length = int(answer.headers['content-length'])
        answer.body = await reader.readexactly(length)
    answer.is_complete = True


def run_case(folder: Path, case) -> int:
    """Run `case(record, work, has_trouble)`; return the exit code."""
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record(f'start, TROUBLE={int(has_trouble)}')

    async def limited(work: Path) -> int:
        async with asyncio.timeout(110):
            return await case(record, work, has_trouble)

    with tempfile.TemporaryDirectory() as name:
        try:
            code = asyncio.run(limited(Path(name)))
        except (CannotRun, TimeoutError, OSError) as error:
            record(f'could not run: {error!r}')
            code = NOT_RUN
        for log in sorted(Path(name).glob('*.log')):
            record(f'last lines of {log.name}:')
            for line in log.read_text('utf-8', 'replace').splitlines()[-4:]:
                record(f'  {line[:300]}')
    record(f'exit {code}: {("rule held", "RULE BROKEN", "not run")[code]}')
    return code
