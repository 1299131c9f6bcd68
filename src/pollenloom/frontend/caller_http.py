"""Size limit for the heads of requests."""

from sanic.http import Http


class CallerHttp(Http):
    """Reads the header limit from the application of the connection.

    Sanic stores the limit in the class, where the last application of the
    process overwrites it for all others.
    """

    __slots__ = ()

    @property
    def HEADER_MAX_SIZE(self) -> int:  # type: ignore[override]  # ruff: ignore[invalid-function-name]
        """Longest head of a request, in bytes; Sanic reads this name."""
        limit: int = self.protocol.app.config.REQUEST_MAX_HEADER_SIZE
        return min(limit, self.HEADER_CEILING)
