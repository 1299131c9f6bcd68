"""Exit codes of the command line."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit codes, the same for all commands.

    Attributes:
        OK: The command did what it was asked to.
        FAILURE: It failed for a reason without a code of its own.
        USAGE: The command line is wrong.
        INVALID_FILE: A settings or service file is not valid.
        LOST: Another publisher changed the configuration first.
        PLATFORM: The platform is unavailable, or it is not known whether a
            publish took effect.
    """

    OK = 0
    FAILURE = 1
    USAGE = 2
    INVALID_FILE = 3
    LOST = 4
    PLATFORM = 5
