"""Plays conversations with a router."""

import asyncio
import itertools
import time
from collections import deque
from contextlib import AsyncExitStack, ExitStack
from pathlib import Path
from typing import Final

from pollenloom.core.ids import ServerId
from pollenloom_standins.wire.conversation import (
    ClientPlan,
    Conversation,
    Fate,
    RouteChoice,
)
from pollenloom_standins.wire.observation import (
    Observation,
    SeenAnswer,
    WireRequestId,
)
from pollenloom_standins.wire.router_process import (
    SOUND_PATH,
    SOUND_SERVICE,
    RouterProcess,
    route_path,
)
from pollenloom_standins.wire.wire_client import WireClient, make_request
from pollenloom_standins.wire.wire_server import WireServer

SLOTS: Final = 64
# Time in which the router learns of a new server.
REGISTERED_SECONDS: Final = 0.5
# Pause between sound requests of another client.
WATCH_SECONDS: Final = 0.05
SOUND: Final = Conversation(ClientPlan(RouteChoice.READ))


class WireSession:
    """A router with a server for each slot, and a sound server.

    A slot has routes and a service of its own, so that each conversation has
    its server. Slots take turns, since the router learns of a new server late.

    Attributes:
        router: The router's process.
        slots: Servers with the monotonic time from which each may be used.
    """

    def __init__(self) -> None:
        self.router = RouterProcess()
        self.stack = AsyncExitStack()
        self.slots: deque[tuple[int, WireServer, float]] = deque()
        self.sound_server = WireServer(
            ServerId('i-sound'), SOUND_SERVICE, self.router
        )
        self.numbers = itertools.count()
        self.starts = itertools.count()
        self.longest_wait: float = 0

    async def start(self, directory: Path, slots: int = SLOTS) -> None:
        """Start the router and all servers."""
        self.stack.push_async_callback(self.router.stop)
        await self.router.start(directory, slots)
        await self.sound_server.begin(SOUND)
        self.stack.callback(self.sound_server.end)
        await self.sound_server.report()
        for slot in range(slots):
            self.slots.append((slot, await self.open_server(slot), 0))
        await self.router.wait_until_ready()

    async def stop(self) -> None:
        """Stop the router and the servers."""
        await self.stack.aclose()

    async def play(self, conversation: Conversation) -> Observation:
        """Play a conversation; return what was seen."""
        slot, server, free_at = self.slots.popleft()
        await asyncio.sleep(max(0, free_at - time.monotonic()))
        await server.begin(conversation)
        self.sound_server.received.clear()
        self.longest_wait = 0
        beside = [
            asyncio.create_task(self.watch()),
            asyncio.create_task(server.report_while_running()),
        ]
        observation = await self.ask(conversation, slot)
        for task in beside:
            task.cancel()
        await asyncio.wait(beside)
        observation.waited_seconds = self.longest_wait
        observation.received = server.received
        observation.is_running = self.router.running.is_running
        if observation.is_running:
            observation.peak_megabytes = self.router.peak_megabytes()
        server.conversation = None
        if conversation.is_sound and conversation.server.fate is Fate.RUNS:
            self.slots.append((slot, server, 0))
        else:
            await self.replace(slot, server)
        return observation

    async def replace(self, slot: int, server: WireServer) -> None:
        """End a server that has made trouble; another one takes its place.

        Each start of a server mostly has a new id.
        """
        server.end()
        await server.report(state='draining')
        successor = await self.open_server(slot)
        free_at = time.monotonic() + REGISTERED_SECONDS
        self.slots.append((slot, successor, free_at))

    async def open_server(self, slot: int) -> WireServer:
        """Start and register a server of a slot."""
        server_id = ServerId(f'i-{slot}-{next(self.starts)}')
        server = WireServer(server_id, f'service-{slot}', self.router)
        await server.listen()
        self.stack.callback(server.end)
        await server.report()
        return server

    async def ask(self, conversation: Conversation, slot: int) -> Observation:
        """Send the request, then a sound one on the same connection."""
        client = await WireClient.connect(self.router.running.callers)
        path = route_path(slot, conversation.client.route)
        request = make_request(conversation.client, path, self.next_id())
        observation = Observation(sent=request)
        observation.answer = await client.ask(conversation.client, request)
        if observation.answer.is_complete and client.is_open:
            observation.follower = await self.ask_sound(client)
        client.close()
        return observation

    async def ask_sound(self, client: WireClient) -> SeenAnswer:
        """Send a request to the sound server."""
        request = make_request(SOUND.client, SOUND_PATH, self.next_id())
        return await client.ask(SOUND.client, request)

    async def watch(self) -> None:
        """Send sound requests as another client; keep the longest wait."""
        while True:
            with ExitStack() as stack:
                stack.callback(self.record_wait, time.monotonic())
                client = await WireClient.connect(self.router.running.callers)
                stack.callback(client.close)
                await self.ask_sound(client)
            await asyncio.sleep(WATCH_SECONDS)

    def record_wait(self, began: float) -> None:
        """Keep the wait of a sound request that began at a time."""
        waited = time.monotonic() - began
        self.longest_wait = max(self.longest_wait, waited)

    def next_id(self) -> WireRequestId:
        """Return an id that no request had before."""
        return WireRequestId(f'{next(self.numbers):016x}')
