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
    """Refuses connections above the limit, and requests that come slowly."""

    HTTP_CLASS = CallerHttp
    __slots__ = ()

    def connection_made(self, transport: Any) -> None:
        """Accept a connection or refuse it with a problem."""
        if len(self.connections) < self.app.ctx.connection_limit:
            super().connection_made(transport)  # type: ignore[no-untyped-call]
            return
        # This protocol was not set up, so it may get no further calls.
        transport.set_protocol(asyncio.Protocol())
        body: bytes = self.app.ctx.refuse_connection()
        transport.write(TOO_MANY_CONNECTIONS)
        transport.write(b'Content-Length: %d\r\n\r\n%b' % (len(body), body))
        transport.close()

    def data_received(self, data: bytes) -> None:
        """Take bytes; the time of a request starts with its first one."""
        started = self._time
        super().data_received(data)
        # Bytes can arrive before the connection's task has set the request
        # up; the attribute does not exist until then.
        http: CallerHttp | None = getattr(self, '_http', None)
        if http is not None and http.stage is Stage.REQUEST:
            self._time = started
