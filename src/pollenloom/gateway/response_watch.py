"""Watches the server of a response that does not mark its end."""

from dataclasses import dataclass

from pollenloom.core.backend_server import BackendServer
from pollenloom.gateway.pending_call import PendingCall
from pollenloom.gateway.server_channel import ServerChannel


@dataclass(frozen=True, slots=True)
class ResponseWatch:
    """A response, and what was known of its server when it began.

    Attributes:
        call: The request.
        server: Server that sends the response.
        channel: Connection of the response.
        is_framed: Whether the response marks its own end.
        started_at: Wall time in seconds of the start of the server that the
            request was sent to; None if it was not registered.
    """

    call: PendingCall
    server: BackendServer
    channel: ServerChannel
    is_framed: bool
    started_at: float | None
