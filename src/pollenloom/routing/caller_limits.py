"""Limits on the requests of callers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on one request and its connection.

    The defaults apply until a configuration is known.

    Attributes:
        header_bytes: Largest size of the headers.
        body_bytes: Largest size of the body.
        header_seconds: Longest time from the first byte of the headers to
            their end.
        idle_seconds: Longest wait for a request or for more bytes of a body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3
    idle_seconds: float = 15
