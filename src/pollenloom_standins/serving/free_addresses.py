"""Addresses for processes whose ports must be known before they start."""

import socket
from contextlib import ExitStack

from pollenloom.core.host_port import join_address


def free_addresses(host: str, count: int) -> list[str]:
    """Return different addresses of a host whose ports are free now.

    The ports are not reserved, so no other process may use the host until the
    fleet listens on them.
    """
    with ExitStack() as stack:
        listeners = [
            stack.enter_context(socket.create_server((host, 0)))
            for _ in range(count)
        ]
        return [
            join_address((host, listener.getsockname()[1]))
            for listener in listeners
        ]
