"""Exit codes of the command line."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit codes, the same for all commands.

    Attributes:
        OK: The command did what it was asked to; a router stopped after
            SIGTERM or SIGINT and cut nothing.
        FAILURE: It failed for a reason without a code of its own.
        USAGE: The command line is wrong or incomplete.
        INVALID_FILE: A settings, service or token file is not valid or
            cannot be read.
        LOST: Another publisher changed the configuration first.
        PLATFORM: The platform is unavailable, or it is not known whether a
            publish took effect.
        UNREACHABLE: No router answered at any of the operators' addresses.
        REFUSED: A router answered and refused; the message says why.
        INCOMPLETE: Some routers do not have the change yet.
        NOT_FOUND: The fleet knows nothing under the id.
        START_FAILED: A service of the router did not start; the log names it.
        SHUTDOWN_INCOMPLETE: The router cut work at the end of
            `shutdown_seconds`, or a service failed to drain or stop.
        SECOND_SIGNAL: A second signal ended the router at once.
    """

    OK = 0
    FAILURE = 1
    USAGE = 2
    INVALID_FILE = 3
    LOST = 4
    PLATFORM = 5
    UNREACHABLE = 6
    REFUSED = 7
    INCOMPLETE = 8
    NOT_FOUND = 9
    START_FAILED = 10
    SHUTDOWN_INCOMPLETE = 11
    SECOND_SIGNAL = 12


def exit_code_list() -> str:
    """Return all codes with their names, for the help text."""
    names = ', '.join(
        f'{code.value} {code.name.lower().replace("_", " ")}'
        for code in ExitCode
    )
    return f'Exit codes: {names}.'
