"""Fixtures of the tests of the stand-ins."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack

import pytest

from tests.standin_runner import HttpCommand, RunningStandin, run_standin

Start = Callable[[HttpCommand], Awaitable[RunningStandin]]


@pytest.fixture
async def start() -> AsyncIterator[Start]:
    """Function that starts a stand-in, which stops after the test."""
    async with AsyncExitStack() as stack:

        async def start_standin(command: HttpCommand) -> RunningStandin:
            return await stack.enter_async_context(run_standin(command))

        yield start_standin
