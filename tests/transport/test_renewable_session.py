"""Calls over connections that went silent together.

Guards against one time-out for each idle connection of a pool, during which
nothing is read although new connections work.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import dataclass

import aiohttp
import pytest

from pollenloom.catalogue.store_topic import StoreTopic
from pollenloom.core.ids import Offset
from pollenloom.platform.store_client import StoreClient
from pollenloom.transport.renewable_session import RenewableSession
from pollenloom_standins.keyed_store.keyed_store_service import (
    KeyedStoreService,
)
from tests.fakes.router_fixtures import open_store
from tests.fakes.silent_link import SilentLink

CALL_SECONDS = 0.3
IDLE_CONNECTIONS = 4


@dataclass(slots=True)
class LinkedStore:
    """A store, the link to it and a client on the other side."""

    store: KeyedStoreService
    link: SilentLink
    client: StoreClient


@pytest.fixture
async def linked() -> AsyncIterator[LinkedStore]:
    """A client that has several idle connections to a store."""
    async with AsyncExitStack() as stack:
        store, address = await open_store(stack)
        link = await stack.enter_async_context(SilentLink.to(address))
        client = StoreClient(link.address, CALL_SECONDS)
        await client.start()
        stack.push_async_callback(client.stop)
        await asyncio.gather(
            *(client.newest(topic) for topic in tuple(StoreTopic)),
        )
        assert link.accepted >= IDLE_CONNECTIONS
        yield LinkedStore(store, link, client)


async def test_one_timeout_gives_up_all_idle_connections(
    linked: LinkedStore,
) -> None:
    linked.link.silence()
    failed = await linked.client.newest(StoreTopic.OPERATOR)
    assert failed.is_error()
    for _ in range(IDLE_CONNECTIONS):
        assert (await linked.client.newest(StoreTopic.SERVERS)).is_ok()


async def test_running_calls_end_on_their_own_connections(
    linked: LinkedStore,
) -> None:
    # A call that times out must not end another one that is being answered.
    await linked.store.write('keyed.op', 'config', b'{}')
    reading = asyncio.create_task(
        linked.client.changes(StoreTopic.SERVERS, Offset(0), 2 * CALL_SECONDS)
    )
    await asyncio.sleep(CALL_SECONDS / 2)
    others = tuple(linked.link.tasks)
    linked.link.silence()
    assert others
    assert (await linked.client.newest(StoreTopic.OPERATOR)).is_error()
    second = asyncio.create_task(
        linked.client.changes(StoreTopic.SERVERS, Offset(0), CALL_SECONDS)
    )
    assert (await reading).is_error()
    assert (await second).is_ok()


async def test_refused_connection_keeps_the_session() -> None:
    # A session is replaced for time-outs only, since a connection that is
    # refused or reset says nothing about the others.
    session = RenewableSession(aiohttp.ClientSession)
    for _ in range(2):
        with pytest.raises(aiohttp.ClientConnectorError):
            async with session.request('GET', 'http://127.0.0.1:1/'):
                """Not reached."""
        assert session.current is not None
        assert not session.current.session.closed
    used = session.current
    await session.close()
    assert used is not None
    assert used.session.closed
