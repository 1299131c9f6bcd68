"""Listening sockets of servers."""

import socket

from pollenloom.core.host_port import join_address, split_address


def open_listener(address: str, backlog: int) -> tuple[socket.socket, str]:
    """Return a listening socket and its address.

    For port 0 the address has the port that the system chose.

    Raises:
        OSError: If the address cannot be listened on.
    """
    listener = socket.create_server(split_address(address), backlog=backlog)
    host, port = listener.getsockname()
    return listener, join_address((host, port))
