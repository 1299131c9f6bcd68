"""Event loop of the tests that listen on an address."""

import os
from asyncio import AbstractEventLoop
from collections.abc import Callable, Mapping

import pytest
import uvloop


def pytest_asyncio_loop_factories(
    config: pytest.Config,
    item: pytest.Item,
) -> Mapping[str, Callable[[], AbstractEventLoop]]:
    """Use the loop that routers run on: its servers close differently."""
    os.environ['UV_USE_IO_URING'] = '0'
    return {'uvloop': uvloop.new_event_loop}
