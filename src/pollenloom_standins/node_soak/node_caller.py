"""A caller that keeps its connection to a node between calls."""

import asyncio
import random
import time
import uuid
from typing import TYPE_CHECKING, Final

from pollenloom.core.host_port import split_address
from pollenloom_standins.node_soak.node_call import NodeCall
from pollenloom_standins.node_soak.node_call_kind import NodeCallKind

if TYPE_CHECKING:
    from pollenloom_standins.node_soak.node_round_environment import (
        NodeRoundEnvironment,
    )

CALL_TIMEOUT_SECONDS: Final = 4.0
MAX_PAUSE_SECONDS: Final = 0.05
# Share of calls after which a connection is closed that could be used again.
RECONNECT_SHARE: Final = 0.05
HEAD_END: Final = b'\r\n\r\n'


class NodeCaller:
    """Sends one request after the other and records the calls."""

    def __init__(
        self, environment: 'NodeRoundEnvironment', number: int
    ) -> None:
        self.environment = environment
        self.random_source = random.Random(
            f'caller {environment.history.seed} {number}'
        )
        self.node = ''
        self.boot = 0
        self.streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def run(self) -> None:
        """Make calls until cancelled."""
        while True:
            await self.call_once()
            await asyncio.sleep(
                self.random_source.uniform(0, MAX_PAUSE_SECONDS)
            )

    async def call_once(self) -> None:
        """Make one call and record it."""
        if not await self.ensure_connection():
            await asyncio.sleep(MAX_PAUSE_SECONDS)
            return
        kind = self.random_source.choice(list(NodeCallKind))
        call = NodeCall(
            request_id=uuid.uuid4().hex,
            kind=kind,
            node=self.node,
            boot=self.boot,
            key=self.random_source.choice(self.environment.keys),
            started=time.time(),
        )
        self.environment.history.calls.append(call)
        is_kept = False
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                is_kept = await self.exchange(call)
        except (OSError, EOFError, ValueError) as error:
            call.detail = repr(error)
        call.ended = time.time()
        if not is_kept or self.random_source.random() < RECONNECT_SHARE:
            self.close()

    async def ensure_connection(self) -> bool:
        """Whether there is a connection; opens one if necessary.

        A new connection goes to a random node in rotation.
        """
        if self.streams is not None:
            return True
        nodes = self.environment.nodes_in_rotation()
        if not nodes:
            return False
        node = self.random_source.choice(nodes)
        self.node = node.vm
        self.boot = node.boot
        address = split_address(node.callers)
        try:
            async with asyncio.timeout(1):
                self.streams = await asyncio.open_connection(*address)
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Close the connection if there is one."""
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None

    async def exchange(self, call: NodeCall) -> bool:
        """Send a request and read the response.

        Returns whether the connection can be used again.
        """
        if self.streams is None:
            return False
        reader, writer = self.streams
        body = f'body of {call.request_id}'.encode()
        head = (
            f'POST {call.kind.value}{call.request_id} HTTP/1.1\r\n'
            'Host: shop.example\r\n'
            f'X-Pollenloom-Attempt-Id: {call.request_id}\r\n'
            f'X-Pollenloom-Deadline-Ms: {CALL_TIMEOUT_SECONDS * 1000:.0f}\r\n'
            f'Api-Key: {call.key}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)
        lines = (await reader.readuntil(HEAD_END)).decode('latin-1')
        start_line, *header_lines = lines.rstrip().split('\r\n')
        call.status = int(start_line.split()[1])
        split = [line.partition(':') for line in header_lines]
        headers = {name.lower(): text.strip() for name, _, text in split}
        if headers.get('transfer-encoding') == 'chunked':
            await self.read_chunks(reader, call)
        else:
            length = int(headers['content-length'])
            call.body = await reader.readexactly(length)
        call.is_whole = True
        return headers.get('connection') != 'close'

    async def read_chunks(
        self,
        reader: asyncio.StreamReader,
        call: NodeCall,
    ) -> None:
        """Read a chunked body to its end."""
        size = -1
        while size:
            size = int(await reader.readline(), 16)
            part = await reader.readexactly(size + 2)
            call.body += part[:-2]
