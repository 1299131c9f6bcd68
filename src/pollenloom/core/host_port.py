"""Addresses of the form `host:port`."""

import re
from ipaddress import IPv4Address
from typing import Final

# Host and port, as the socket module expects them.
Address = tuple[str, int]

# Sockets take 16 bits.
MAX_PORT: Final = 65_535
# An address has at most 21 characters; error messages quote no more than this.
MAX_QUOTED: Final = 40
# `int` and `str.isdigit` accept digits of other scripts too.
PORT: Final = re.compile(r'0|[1-9][0-9]{0,4}')


def split_address(text: str) -> Address:
    """Return host and port.

    Raises:
        ValueError: If there is no port, or it is out of range.
    """
    host, _, digits = text.rpartition(':')
    if not PORT.fullmatch(digits) or int(digits) > MAX_PORT:
        raise ValueError(f'invalid literal for a port in {text[:MAX_QUOTED]!r}')
    return host, int(digits)


def split_ipv4_address(text: str) -> Address:
    """Return host and port.

    Raises:
        ValueError: If the host is not an IPv4 address, or as `split_address`.
    """
    host, port = split_address(text)
    return str(IPv4Address(host)), port


def split_remote_address(text: str) -> Address:
    """Return host and port of another machine, which other programs state.

    Raises:
        ValueError: If the host is not the IPv4 address of a machine, or the
            port is not one to which a connection can be made.
    """
    host, port = split_ipv4_address(text)
    if not port:
        raise ValueError('no connection can be made to port 0')
    address = IPv4Address(host)
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise ValueError(f'not the address of a machine: {host}')
    return host, port


def join_address(address: Address) -> str:
    """Return `host:port`."""
    host, port = address
    return f'{host}:{port}'
