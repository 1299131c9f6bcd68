"""Options that both ends of a connection between routers share."""

import logging
from typing import Final, TypedDict

from pollenloom.peers.handshake import HANDSHAKE_SECONDS

MAX_FRAME_BYTES: Final = 1_048_576
# A closing peer answers at once or is lost.
CLOSE_SECONDS: Final = 1
# Frames of one connection read ahead of their handling.
READ_AHEAD_FRAMES: Final = 64

# The library logs each failed connection with a traceback; the network
# records an event instead.
library_logger = logging.getLogger('pollenloom.websockets')
library_logger.setLevel(logging.CRITICAL)


class LinkOptions(TypedDict):
    """Arguments of `connect` and `serve`; times in seconds."""

    compression: None
    open_timeout: float
    close_timeout: float
    ping_interval: None
    max_size: int
    max_queue: int
    logger: logging.Logger


# Heartbeats of the membership tell whether a peer is there, so that no
# keep-alive pings are needed.
LINK_OPTIONS: Final = LinkOptions(
    compression=None,
    open_timeout=HANDSHAKE_SECONDS,
    close_timeout=CLOSE_SECONDS,
    ping_interval=None,
    max_size=MAX_FRAME_BYTES,
    max_queue=READ_AHEAD_FRAMES,
    logger=library_logger,
)
