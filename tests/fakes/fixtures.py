"""Fixtures that the conftest modules of several test packages import."""

from collections.abc import AsyncIterator

import pytest

from pollenloom.settings.router_settings import DispatchSettings, LimitSettings
from tests.fakes.caller_router import CallerRouter


@pytest.fixture
async def router() -> AsyncIterator[CallerRouter]:
    """Router with two backend servers and short time limits."""
    started = CallerRouter(
        LimitSettings(drain_grace_seconds=0, receive_seconds=1),
        settings=DispatchSettings(idle_seconds=0.5),
    )
    await started.start(backends=2)
    yield started
    await started.stop()
