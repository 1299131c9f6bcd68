"""Addresses of the form `host:port`."""

# Host and port, as the socket module expects them.
Address = tuple[str, int]


def split_address(text: str) -> Address:
    """Return host and port.

    Raises:
        ValueError: If there is no port.
    """
    host, _, port = text.rpartition(':')
    return host, int(port)


def join_address(address: Address) -> str:
    """Return `host:port`."""
    host, port = address
    return f'{host}:{port}'
