"""Addresses of the form `host:port`."""

import re
from ipaddress import IPv4Address
from typing import Final

# Host and port, as the socket module expects them.
Address = tuple[str, int]

# Sockets take 16 bits.
MAX_PORT: Final = 65_535
# `int` and `str.isdigit` accept digits of other scripts too.
PORT: Final = re.compile(r'0|[1-9][0-9]{0,4}')


def split_address(text: str) -> Address:
    """Return host and port.

    Raises:
        ValueError: If there is no port.
    """
    host, _, port = text.rpartition(':')
    return host, int(port)


def split_remote_address(text: str) -> Address:
    """Return host and port of another machine, which other programs state.

    Raises:
        ValueError: If the host is not the IPv4 address of a machine, or the
            port is not one to which a connection can be made.
    """
    host, _, digits = text.rpartition(':')
    if not PORT.fullmatch(digits) or not 1 <= int(digits) <= MAX_PORT:
        raise ValueError(f'port out of range in {text!r}')
    address = IPv4Address(host)
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise ValueError(f'no address of a machine in {text!r}')
    return host, int(digits)


def join_address(address: Address) -> str:
    """Return `host:port`."""
    host, port = address
    return f'{host}:{port}'
