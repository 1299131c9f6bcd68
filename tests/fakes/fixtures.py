"""Fixtures that several packages of tests import into their conftest."""

from collections.abc import AsyncIterator

import pytest

from pollenloom.settings.router_settings import DispatchSettings, LimitSettings
from tests.fakes.caller_router import CallerRouter


@pytest.fixture
async def router() -> AsyncIterator[CallerRouter]:
    """A router above two backend servers."""
    started = CallerRouter(
        LimitSettings(drain_grace_seconds=0, receive_seconds=1),
        settings=DispatchSettings(idle_seconds=0.5),
    )
    await started.start(backends=2)
    yield started
    await started.stop()
