"""Limits on the connections of callers."""

import asyncio
from typing import Any, Final

from sanic.http import Stage
from sanic.server import HttpProtocol

from pollenloom.frontend.caller_http import CallerHttp

TOO_MANY_CONNECTIONS: Final = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Content-Type: application/problem+json\r\n'
    b'Connection: close\r\n'
    b'Retry-After: 1\r\n'
)


class CallerProtocol(HttpProtocol):
    """Rejects connections above the limit and requests that arrive slowly."""

    HTTP_CLASS = CallerHttp
    __slots__ = ()

    def connection_made(self, transport: Any) -> None:
        """Accept a connection, or reject it with status 503."""
        if len(self.connections) < self.app.ctx.connection_limit:
            super().connection_made(transport)  # type: ignore[no-untyped-call]
            return
        # This protocol was not initialized, so it must get no further calls.
        transport.set_protocol(asyncio.Protocol())
        body: bytes = self.app.ctx.encode_connection_problem()
        transport.write(TOO_MANY_CONNECTIONS)
        transport.write(b'Content-Length: %d\r\n\r\n%b' % (len(body), body))
        transport.close()

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; the timeout runs from a request's first byte.

        Sanic restarts the timeout whenever data arrives, so that a slow
        request would never time out.
        """
        started = self._time
        super().data_received(data)
        # Bytes can arrive before the task of the connection has started; the
        # attribute does not exist until then.
        http: CallerHttp | None = getattr(self, '_http', None)
        if http is not None and http.stage is Stage.REQUEST:
            self._time = started
