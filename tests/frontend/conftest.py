"""Fixtures shared by the tests of the front end."""

from collections.abc import AsyncIterator

import aiohttp
import openai
import pytest

from pollenloom.settings.router_settings import LimitSettings
from tests.fakes.fixed_configuration import KEY
from tests.fakes.caller_router import Router


@pytest.fixture
async def router() -> AsyncIterator[Router]:
    """A router above two backend servers."""
    started = Router(LimitSettings(drain_grace_seconds=0))
    await started.start(backends=2)
    yield started
    await started.stop()


@pytest.fixture
async def client(router: Router) -> AsyncIterator[openai.AsyncOpenAI]:
    """The published client, unmodified; it must not retry by itself."""
    async with openai.AsyncOpenAI(
        api_key=KEY,
        base_url=f'{router.url}/v1',
        max_retries=0,
    ) as opened:
        yield opened


@pytest.fixture
async def http(router: Router) -> AsyncIterator[aiohttp.ClientSession]:
    """A plain HTTP client with the key of an account."""
    async with aiohttp.ClientSession(
        base_url=router.url,
        headers={'Authorization': f'Bearer {KEY}'},
    ) as session:
        yield session
