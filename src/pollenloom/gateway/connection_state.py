"""What the kernel knows of a TCP connection."""

import asyncio
import fcntl
import socket
import termios
from typing import Final

# Of an open connection whose peer has closed its side (Linux).
TCP_CLOSE_WAIT: Final = 8
# Of a connection that a reset has ended.
TCP_CLOSE: Final = 7
# Of the number that the kernel returns.
COUNT_BYTES: Final = 4


def was_reset(transport: asyncio.Transport) -> bool:
    """Whether a connection ended by more than the peer closing its side.

    After a partial read libuv reports a hang-up as end of file even if the peer
    sent a reset, and a reset may follow an end of file. The state tells both.
    The pending error of the socket does not once a write has returned it.
    """
    state = read_state(transport)
    return state is None or state != TCP_CLOSE_WAIT


def is_peer_closed(transport: asyncio.Transport) -> bool:
    """Whether the peer has closed or reset a connection.

    The event loop may not have read that yet.
    """
    state = read_state(transport)
    return state is None or state in {TCP_CLOSE, TCP_CLOSE_WAIT}


def read_state(transport: asyncio.Transport) -> int | None:
    """Return the state of a TCP connection; None once it is being closed."""
    tcp_socket = transport.get_extra_info('socket')
    if tcp_socket is None or transport.is_closing():
        return None
    info = tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return int(info[0])


def has_unacknowledged(transport: asyncio.Transport) -> bool:
    """Whether the peer has not yet acknowledged all that was written.

    A server that has received a whole request has acknowledged it with its
    response at the latest.
    """
    tcp_socket = transport.get_extra_info('socket')
    if tcp_socket is None or transport.is_closing():
        return True
    if transport.get_write_buffer_size():
        return True
    queued = fcntl.ioctl(
        tcp_socket.fileno(), termios.TIOCOUTQ, bytes(COUNT_BYTES)
    )
    return any(queued)
