"""Websocket options of both sides of a connection between routers."""

import logging
from typing import Final, TypedDict

from pollenloom.peers.handshake import HANDSHAKE_TIMEOUT_SECONDS

MAX_FRAME_BYTES: Final = 1_048_576
# A reachable peer completes the closing handshake immediately.
CLOSE_TIMEOUT_SECONDS: Final = 1
# Frames of one connection that are received before they are handled.
READ_AHEAD_FRAMES: Final = 64

# The library logs each failed connection with a traceback. The network
# records an event instead.
library_logger = logging.getLogger('pollenloom.websockets')
library_logger.setLevel(logging.CRITICAL)


class LinkOptions(TypedDict):
    """Arguments of `connect` and `serve` of websockets; times in seconds."""

    compression: None
    open_timeout: float
    close_timeout: float
    ping_interval: None
    max_size: int
    max_queue: int
    logger: logging.Logger


# Keep-alive pings are off, since heartbeats of the membership detect
# unreachable peers.
LINK_OPTIONS: Final = LinkOptions(
    compression=None,
    open_timeout=HANDSHAKE_TIMEOUT_SECONDS,
    close_timeout=CLOSE_TIMEOUT_SECONDS,
    ping_interval=None,
    max_size=MAX_FRAME_BYTES,
    max_queue=READ_AHEAD_FRAMES,
    logger=library_logger,
)
