"""Limit on the heads of requests."""

from sanic.http import Http


class CallerHttp(Http):
    """Takes the limit from its own application.

    Sanic keeps it in the class, where the last application of the process
    sets it for all.
    """

    __slots__ = ()

    @property
    def HEADER_MAX_SIZE(self) -> int:  # type: ignore[override]  # ruff: ignore[invalid-function-name]
        """Longest head of a request, in bytes; Sanic's name for it."""
        limit: int = self.protocol.app.config.REQUEST_MAX_HEADER_SIZE
        return min(limit, self.HEADER_CEILING)
