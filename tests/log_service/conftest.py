"""Fixtures for the tests of the platform client."""

from collections.abc import AsyncIterator

import pytest

from pollenloom.log_service.http_platform import HttpPlatform
from pollenloom.settings.router_settings import PlatformSettings
from pollenloom_standins.commands.platform_command import PlatformCommand
from tests.standin_runner import RunningStandin, run_standin


@pytest.fixture
async def standin() -> AsyncIterator[RunningStandin]:
    async with run_standin(PlatformCommand(appends_per_second=5)) as running:
        yield running


@pytest.fixture
async def platform(standin: RunningStandin) -> AsyncIterator[HttpPlatform]:
    settings = PlatformSettings(url=standin.url, timeout_seconds=0.5)
    client = HttpPlatform.from_config(settings)
    await client.start()
    yield client
    await client.stop()
