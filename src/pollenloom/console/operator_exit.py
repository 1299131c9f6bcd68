"""Exit codes of the commands that ask a router's operators' address."""

from enum import IntEnum, unique


@unique
class OperatorExit(IntEnum):
    """Why a command did not end with 0.

    Attributes:
        REFUSED: A router answered, and refused; the message says why.
        UNREACHABLE: No router answered at any of the addresses.
        INCOMPLETE: Some routers do not have the change yet.
        NOT_FOUND: The fleet knows nothing under the id.
    """

    REFUSED = 1
    UNREACHABLE = 3
    INCOMPLETE = 4
    NOT_FOUND = 5
