"""Prompt parts that crash the backend servers that answer them."""

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from pollenloom.console.node_process import make_services
from pollenloom.core.ids import AccountId, PromptPartId, ServerId, ServiceId
from pollenloom.gateway.prompt_guard import PromptGuard
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.fleet_facts import block_key
from pollenloom.routing.prompt_facts import PromptBlock, PromptCrash
from pollenloom.routing.prompt_quarantine import BegunAnswer
from pollenloom_standins.worker.responses import LAST_CHUNK, chunk
from pollenloom_standins.worker.scripted_backend import (
    ReceivedRequest,
    ScriptedBackend,
)
from tests.fakes.router_fixtures import make_settings
from tests.gateway.conftest import (
    CallerResponse,
    RouterEnvironment,
    event,
    stream_head,
)

SERVER_COUNT = 14
# Servers may crash until the part is proven; the users allow five crashes.
MAX_CRASHES = 5
COMMON_PART = 'c0'
CRASHING_PART = 'bad'


@dataclass
class CrashingServers:
    """Servers that end when they begin to answer a certain prompt part.

    Attributes:
        backends: Running servers, by address.
        writers: Open connections of each server, by address.
        crashing_requests: Number of requests with the part that arrived.
        sound_parts: Rare parts of the other requests that arrived.
    """

    environment: RouterEnvironment
    backends: dict[str, ScriptedBackend] = field(default_factory=dict)
    writers: dict[str, set[asyncio.StreamWriter]] = field(default_factory=dict)
    crashing_requests: int = 0
    sound_parts: list[str] = field(default_factory=list)

    async def start(self) -> None:
        """Start and register the servers."""
        for _ in range(SERVER_COUNT):
            backend = await self.environment.add_server(self.respond, slots=8)
            self.backends[backend.address] = backend
        await self.environment.ready(SERVER_COUNT)

    async def respond(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer with two events, or crash after the head."""
        address = '{}:{}'.format(*writer.get_extra_info('sockname'))
        writers = self.writers.setdefault(address, set())
        writers.add(writer)
        prefix = request.headers['x-pollenloom-prompt-prefix']
        writer.write(stream_head(request))
        await writer.drain()
        if f'{CRASHING_PART}:' in prefix:
            self.crashing_requests += 1
            await self.backends[address].stop()
            for open_writer in writers:
                open_writer.close()
            return
        self.sound_parts.append(prefix.split(',')[1].partition(':')[0])
        for number in (1, 2):
            writer.write(chunk(event(number)))
        writer.write(LAST_CHUNK)
        await writer.drain()


async def ask(
    environment: RouterEnvironment,
    name: str,
    part: str,
    path: str = '/stream/',
) -> CallerResponse:
    """Send a request whose prompt has the common part, `part` and its own."""
    caller = await environment.connect()
    return await caller.fetch(
        path,
        request_id=name,
        x_pollenloom_token_usage='40,8',
        x_pollenloom_prompt_prefix=f'{COMMON_PART}:10,{part}:10,{name}:20',
    )


def find_guard(kernel: Kernel) -> PromptGuard:
    """Return the prompt guard of a router."""
    return kernel.find(KernelServiceName.PROMPT_GUARD, PromptGuard)


def make_block(part: str) -> PromptBlock:
    """Return a block of one part for all accounts."""
    return PromptBlock(ServiceId('app'), (PromptPartId(part),), (), 3)


@pytest.mark.parametrize('sound_requests', [2, 6])
async def test_prompt_part_that_crashes_servers_is_refused(
    environment: RouterEnvironment, sound_requests: int
) -> None:
    """Guards against one kind of request that ends server after server.

    Requests with other parts of the same account keep being served, so many
    between two that crash a server.
    """
    servers = CrashingServers(environment)
    await servers.start()
    statuses: list[int] = []
    for number in range(SERVER_COUNT - 2):
        response = await ask(environment, f'bad{number}', CRASHING_PART)
        statuses.append(response.status)
        for other in range(sound_requests):
            name = f'ok{number}-{other}'
            served = await ask(environment, name, f'rare{number % 3}')
            assert served.status == 200
        await asyncio.sleep(0.5)
    assert servers.crashing_requests <= MAX_CRASHES
    refused = await ask(environment, 'last', CRASHING_PART)
    assert refused.status == 400
    assert 'retry-after' not in refused.headers
    assert 400 not in statuses[:3]


async def test_lost_connections_of_a_running_server_block_nothing(
    environment: RouterEnvironment,
) -> None:
    """Guards against taking every reset for a crash.

    A server that still accepts connections has not crashed.
    """

    async def close(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Close the connection instead of an answer."""
        writer.close()
        await writer.wait_closed()

    await environment.add_server(close)
    await environment.ready(1)
    for number in range(8):
        response = await ask(environment, f'a{number}', CRASHING_PART)
        assert response.status in {502, 503}
        await asyncio.sleep(0.12)
    guard = environment.kernel.find(KernelServiceName.PROMPT_GUARD, PromptGuard)
    assert not guard.quarantine.facts.crashes.facts


@pytest.mark.parametrize(
    ('part', 'attempts'), [(CRASHING_PART, 1), ('sound', 2)]
)
async def test_suspect_is_not_sent_to_a_second_server(
    environment: RouterEnvironment, part: str, attempts: int
) -> None:
    """Guards against one request that ends several servers.

    Other requests that may run twice are sent again.
    """

    async def close(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """Close the connection instead of an answer."""
        writer.close()
        await writer.wait_closed()

    servers = [await environment.add_server(close) for _ in range(2)]
    await environment.ready(2)
    quarantine = find_guard(environment.kernel).quarantine
    crash = PromptCrash(
        ServerId('i-gone'),
        ServiceId('app'),
        AccountId('shop'),
        (PromptPartId(CRASHING_PART),),
    )
    quarantine.record_crash(crash, environment.kernel.clock.monotonic())
    await environment.wait_for(lambda: bool(quarantine.suspects))
    await ask(environment, 'a1', part, '/resume/')
    assert sum(len(server.requests) for server in servers) == attempts


async def test_prompt_that_is_blocked_while_it_waits_is_not_sent(
    environment: RouterEnvironment,
) -> None:
    """Guards against a crash by a request that waited for its server."""
    guard = environment.kernel.find(KernelServiceName.PROMPT_GUARD, PromptGuard)
    is_held = asyncio.Event()
    sent: list[str] = []

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer when the test says so."""
        sent.append(request.headers['x-pollenloom-prompt-prefix'])
        await is_held.wait()
        writer.write(stream_head(request) + chunk(event(1)) + LAST_CHUNK)
        await writer.drain()

    await environment.add_server(respond, slots=1)
    await environment.ready(1)
    first = asyncio.create_task(ask(environment, 'first', 'rare'))
    await environment.wait_for(lambda: bool(sent))
    waiting = asyncio.create_task(ask(environment, 'bad', CRASHING_PART))
    await asyncio.sleep(0.05)
    facts = guard.quarantine.facts
    block = PromptBlock(ServiceId('app'), (PromptPartId(CRASHING_PART),), (), 3)
    now = environment.kernel.clock.monotonic()
    facts.blocks.put(facts.make_fact(block_key(block), block, now), now)
    is_held.set()
    assert (await first).status == 200
    assert (await waiting).status == 400
    assert len(sent) == 1


async def test_restarted_fleet_knows_blocked_prompts(
    environment: RouterEnvironment, tmp_path: Path
) -> None:
    """Guards against crashes anew after all routers have restarted at once.

    A part that was answered meanwhile is not blocked again.
    """
    guard = find_guard(environment.kernel)
    for part in ('kept', 'answered'):
        block = make_block(part)
        now = environment.kernel.clock.monotonic()
        facts = guard.quarantine.facts
        fact = facts.make_fact(block_key(block), block, now)
        facts.blocks.put(fact, now)
        guard.block_store.save(fact)
    await environment.wait_for(lambda: len(guard.recorded_blocks) == 2)
    await environment.wait_for(lambda: not guard.block_store.pending)
    guard.quarantine.answer_began(
        BegunAnswer(
            ServerId('i-0'),
            ServiceId('app'),
            (PromptPartId('answered'),),
            environment.kernel.clock.monotonic(),
        )
    )
    await environment.wait_for(lambda: len(guard.recorded_blocks) == 1)
    await environment.wait_for(lambda: not guard.block_store.pending)
    settings = make_settings('edge-2', store_address=environment.store_address)
    kernel = Kernel()
    for service in make_services(kernel, tmp_path / 'node.toml', settings):
        kernel.register(service)
    await kernel.start()
    environment.stack.push_async_callback(kernel.stop)
    restarted = find_guard(kernel)
    await environment.wait_for(lambda: bool(restarted.recorded_blocks))
    assert restarted.recorded_blocks == {block_key(make_block('kept'))}
