"""The Sanic application of the callers' address."""

import logging
from itertools import count
from typing import Final

from sanic import Sanic
from sanic.config import Config
from sanic.server import HttpProtocol

from pollenloom.frontend.problem_handler import ProblemHandler
from pollenloom.frontend.request_reader import MAX_TIMEOUT_SECONDS
from pollenloom.frontend.tolerant_request import TolerantRequest
from pollenloom.settings.router_settings import LimitSettings

# Sanic refuses two applications of the same name in one process.
app_numbers: Final = count()

# Handlers end requests at their deadlines; Sanic's own limit must not be
# first.
RESPONSE_MARGIN_SECONDS: Final = 60


def make_app(limits: LimitSettings) -> Sanic:  # type: ignore[type-arg]
    """Return an application without routes, with limits and without logs."""
    config = Config(
        env_prefix='POLLENLOOM_SANIC_',
        defaults={
            'ACCESS_LOG': False,
            'AUTO_EXTEND': False,
            'MOTD': False,
            'KEEP_ALIVE_TIMEOUT': limits.keep_alive_seconds,
            'REQUEST_MAX_HEADER_SIZE': limits.header_bytes,
            'REQUEST_MAX_SIZE': limits.body_bytes,
            'TOUCHUP': is_untouched(),
            'REQUEST_TIMEOUT': limits.receive_seconds,
            'RESPONSE_TIMEOUT': MAX_TIMEOUT_SECONDS + RESPONSE_MARGIN_SECONDS,
        },
    )
    app = Sanic(
        f'callers-{next(app_numbers)}',
        config=config,
        error_handler=ProblemHandler(),
        request_class=TolerantRequest,
        configure_logging=False,
    )
    app.ctx.connection_limit = limits.connections
    # Event records tell of requests; Sanic's own lines only of faults.
    logging.getLogger('sanic').setLevel(logging.ERROR)
    return app


def is_untouched() -> bool:
    """Whether Sanic's classes still have the source that they came with.

    Sanic rewrites its protocol classes when the first application starts,
    which makes events cheaper to send; a second rewriting fails.
    """
    file_name: str = HttpProtocol.send.__code__.co_filename
    return file_name.endswith('.py')
