"""Fixtures shared by the tests of the front end."""

from collections.abc import AsyncIterator

import aiohttp
import openai
import pytest

from tests.fakes.caller_router import CallerRouter
from tests.fakes.fixed_configuration import KEY
from tests.fakes.fixtures import router

__all__ = ('router',)


@pytest.fixture
async def client(router: CallerRouter) -> AsyncIterator[openai.AsyncOpenAI]:
    """The unmodified published client; retries of its own are disabled."""
    async with openai.AsyncOpenAI(
        api_key=KEY,
        base_url=f'{router.url}/v1',
        max_retries=0,
    ) as opened:
        yield opened


@pytest.fixture
async def http(router: CallerRouter) -> AsyncIterator[aiohttp.ClientSession]:
    """A plain HTTP client with the API key of a client account."""
    async with aiohttp.ClientSession(
        base_url=router.url,
        headers={'Authorization': f'Bearer {KEY}'},
    ) as session:
        yield session
