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

# Sanic rejects two applications with the same name in one process.
app_numbers: Final = count()

# Handlers end requests at their deadlines; Sanic's timeout must be longer.
RESPONSE_MARGIN_SECONDS: Final = 60


def make_app(limits: LimitSettings) -> Sanic:  # type: ignore[type-arg]
    """Return an application with limits, without routes and access log."""
    config = Config(
        env_prefix='POLLENLOOM_SANIC_',
        defaults={
            'ACCESS_LOG': False,
            'AUTO_EXTEND': False,
            'MOTD': False,
            'KEEP_ALIVE_TIMEOUT': limits.keep_alive_seconds,
            'REQUEST_MAX_HEADER_SIZE': limits.header_bytes,
            'REQUEST_MAX_SIZE': limits.body_bytes,
            'TOUCHUP': needs_touchup(),
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
    # Event records cover the requests; Sanic logs only its errors.
    logging.getLogger('sanic').setLevel(logging.ERROR)
    return app


def needs_touchup() -> bool:
    """Whether Sanic has not yet optimized its protocol classes.

    Sanic rewrites them ("touch-up") when the first application starts, which
    makes stream events cheaper to send. A second rewrite in the same process
    fails.
    """
    file_name: str = HttpProtocol.send.__code__.co_filename
    return file_name.endswith('.py')
