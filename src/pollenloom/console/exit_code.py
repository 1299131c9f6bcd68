"""Exit codes of the command line."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit codes, the same for all commands.

    Attributes:
        OK: The command succeeded; a router stopped after SIGTERM or SIGINT
            without cutting a request.
        FAILURE: The command failed for a reason without its own code.
        USAGE: The command line is invalid or incomplete.
        INVALID_FILE: A settings, service or token file is not valid or
            cannot be read.
        LOST: Another publisher changed the configuration first.
        PLATFORM: The platform is unavailable, or it is not known whether a
            publish took effect.
        UNREACHABLE: No router responded at any of the operators' addresses.
        REFUSED: A router rejected the request; the message has the reason.
        INCOMPLETE: Some routers do not have the change yet.
        NOT_FOUND: The fleet has no data for the id.
        START_FAILED: A service of the router did not start; the log has the
            error.
        SHUTDOWN_INCOMPLETE: The router cut requests at the end of
            `shutdown_seconds` (`stop_seconds` for `pollenloom node`), or a
            service failed to drain or stop.
        SECOND_SIGNAL: A second signal ended the router immediately.
            `pollenloom node` ignores a repeated SIGTERM.
        WARNINGS: `check-configuration` found a valid configuration with
            entries that have no effect or contradict each other.
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
    WARNINGS = 13


def exit_code_list() -> str:
    """Return a sentence with all codes and their names, for the help."""
    names = ', '.join(
        f'{code.value} {code.name.lower().replace("_", " ")}'
        for code in ExitCode
    )
    return f'Exit codes: {names}.'
