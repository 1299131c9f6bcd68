"""Runs stand-ins on the event loop of the test."""

from collections.abc import AsyncGenerator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp

from pollenloom.kernel.kernel import Kernel
from pollenloom_standins.commands.application_command import (
    ApplicationCommand,
)
from pollenloom_standins.commands.engine_command import EngineCommand
from pollenloom_standins.commands.platform_command import PlatformCommand

HttpCommand = ApplicationCommand | EngineCommand | PlatformCommand


@dataclass
class RunningStandin:
    """A started stand-in with an HTTP client for its calls."""

    kernel: Kernel
    url: str
    session: aiohttp.ClientSession

    @property
    def address(self) -> str:
        """`host:port` of the stand-in."""
        return self.url.removeprefix('http://')

    async def get(self, path: str) -> Any:
        """Return the JSON of a response, which must have status 200."""
        async with self.session.get(self.url + path) as response:
            assert response.status == 200
            return await response.json()

    async def put(self, path: str, body: object) -> Any:
        """Put JSON; return that of the response, which must have status 200."""
        async with self.session.put(self.url + path, json=body) as response:
            assert response.status == 200, await response.text()
            return await response.json()

    async def set_faults(self, **faults: object) -> None:
        """Change the faults that are named; others keep their value."""
        await self.put('/control/faults', faults)

    async def post(
        self,
        path: str,
        body: object = None,
        **headers: str,
    ) -> 'StandinResponse':
        """Post JSON; `X_Request_Id='a'` sets the header `X-Request-Id`."""
        async with self.session.post(
            self.url + path,
            json=body,
            headers={
                name.replace('_', '-'): text for name, text in headers.items()
            },
        ) as response:
            return StandinResponse(
                response.status,
                await response.text(),
                response.headers,
            )


@dataclass
class StandinResponse:
    """A response that was read completely.

    Attributes:
        status: HTTP status.
        text: Body.
        headers: Headers; names are compared without regard to case.
    """

    status: int
    text: str
    headers: Mapping[str, str]


@asynccontextmanager
async def run_standin(
    command: HttpCommand,
) -> AsyncGenerator[RunningStandin, None]:
    """Run a stand-in on a free port until the context exits."""
    kernel, listener = command.build()
    await kernel.start()
    timeout = aiohttp.ClientTimeout(total=30)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield RunningStandin(kernel, f'http://{listener.address}', session)
    await kernel.stop()
