"""Addresses for processes whose ports must be known before they start."""

import random
import socket
from collections.abc import Iterator
from contextlib import ExitStack
from itertools import islice
from typing import Final

from pollenloom.core.host_port import join_address

# Outgoing connections and listeners without a port of their own get ports from
# 32768 on, and one of them could take a chosen port before its process listens.
FIRST_PORT: Final = 10_000
LAST_PORT: Final = 32_767
# Ports that this process chose earlier; their processes may not listen yet.
chosen_ports: Final[set[int]] = set()


def free_addresses(host: str, count: int) -> list[str]:
    """Return different addresses of a host whose ports are free now.

    The ports are not reserved; another run that draws the same ones at the
    same time is unlikely.
    """
    with ExitStack() as stack:
        ports = islice(free_ports(host, stack), count)
        return [join_address((host, port)) for port in ports]


def free_ports(host: str, stack: ExitStack) -> Iterator[int]:
    """Yield random free ports; the stack holds them until it is closed."""
    # Different processes draw different ports, whatever the seed of a run.
    source = random.SystemRandom()
    while True:
        port = source.randint(FIRST_PORT, LAST_PORT)
        if port in chosen_ports:
            continue
        try:
            stack.enter_context(socket.create_server((host, port)))
        except OSError:
            continue
        chosen_ports.add(port)
        yield port
