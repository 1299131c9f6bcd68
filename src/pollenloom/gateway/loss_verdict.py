"""Why a backend server lost the connection of a request."""

from enum import Enum, unique


@unique
class LossVerdict(Enum):
    """What a router concludes from a lost connection to a server."""

    # The server accepts new connections.
    RUNNING = 'running'
    # The server had said that it leaves, or its entry was removed.
    LEFT = 'left'
    # The server is refused, and so is everything else in its data centre.
    OUT_OF_TOUCH = 'out of touch'
    # The server is refused while other routers near it are heard of.
    CRASHED = 'crashed'
