"""Cancelled connection attempts on the event loop of a router."""

import asyncio
import random
from typing import Any

import pytest
from aiohttp import ClientSession, web

from pollenloom.transport.shielded_connector import ShieldedConnector

ROUNDS = 600
REQUESTS = 6
MAX_LOOP_STEPS = 12


@pytest.fixture
def loop_errors() -> list[dict[str, Any]]:
    """Contexts of unhandled errors that the event loop reported."""
    return []


async def serve() -> tuple[web.AppRunner, str]:
    async def respond(request: web.Request) -> web.Response:
        await request.read()
        return web.Response(text='ok')

    application = web.Application()
    application.router.add_get('/', respond)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    host, port = runner.addresses[0][:2]
    return runner, f'http://{host}:{port}/'


async def test_cancelled_attempts_close_their_socket_once(
    loop_errors: list[dict[str, Any]],
) -> None:
    """Guards against descriptors closed twice, which abort the process.

    Requests are cancelled at random steps of their connection attempts.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: loop_errors.append(context))
    runner, url = await serve()
    generator = random.Random(1)
    async with ClientSession(connector=ShieldedConnector()) as session:
        for _ in range(ROUNDS):
            tasks = [
                asyncio.ensure_future(session.get(url)) for _ in range(REQUESTS)
            ]
            for _ in range(generator.randrange(MAX_LOOP_STEPS)):
                await asyncio.sleep(0)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for task in tasks:
                if not task.cancelled() and task.exception() is None:
                    task.result().close()
    await runner.cleanup()
    assert not loop_errors
