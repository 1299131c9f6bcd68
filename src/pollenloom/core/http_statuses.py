"""Ranges of HTTP status codes."""

from typing import Final

FIRST_INTERIM_STATUS: Final = 100
FIRST_FINAL_STATUS: Final = 200
LAST_FINAL_STATUS: Final = 599


def is_final_status(status: int) -> bool:
    """Whether a status is that of a response, other than an interim one."""
    return FIRST_FINAL_STATUS <= status <= LAST_FINAL_STATUS


def is_interim_status(status: int) -> bool:
    """Whether a status is that of an interim response."""
    return FIRST_INTERIM_STATUS <= status < FIRST_FINAL_STATUS
