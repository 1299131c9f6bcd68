"""Exit codes of `pollenloom router`."""

from enum import IntEnum, unique


@unique
class RouterExit(IntEnum):
    """How the router process ended.

    Attributes:
        STOPPED: Graceful shutdown after SIGTERM or SIGINT, nothing cut.
        START_FAILED: A service did not start; the log names it.
        SHUTDOWN_INCOMPLETE: Work was cut at the end of `shutdown_seconds`,
            or a service failed to drain or stop; the log tells which.
        SECOND_SIGNAL: A second signal ended the process at once.
    """

    STOPPED = 0
    START_FAILED = 10
    SHUTDOWN_INCOMPLETE = 11
    SECOND_SIGNAL = 12
