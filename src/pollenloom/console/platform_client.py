"""Client of the platform for commands that run outside of a router."""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

from pollenloom.log_service.http_platform import HttpPlatform
from pollenloom.log_service.platform import Platform
from pollenloom.settings.router_settings import PlatformSettings


@asynccontextmanager
async def open_platform(settings: PlatformSettings) -> AsyncGenerator[Platform]:
    """Provide a started client; stop it at the end of the context."""
    platform = HttpPlatform.from_config(settings)
    await platform.start()
    try:
        yield platform
    finally:
        await platform.stop()
