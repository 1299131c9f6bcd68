"""Event loop of the asynchronous tests."""

import os
from asyncio import AbstractEventLoop
from collections.abc import Callable, Mapping

import pytest
import uvloop


def pytest_asyncio_loop_factories(
    config: pytest.Config,
    item: pytest.Item,
) -> Mapping[str, Callable[[], AbstractEventLoop]]:
    """Use uvloop, as routers do: its servers close differently from asyncio's.

    It also switches io_uring off: libuv reads the variable when it creates a
    loop.
    """
    os.environ['UV_USE_IO_URING'] = '0'
    return {'uvloop': uvloop.new_event_loop}
