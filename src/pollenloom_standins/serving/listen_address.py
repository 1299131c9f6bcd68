"""Addresses given on the command line."""

from dataclasses import dataclass
from typing import Self


@dataclass(frozen=True, slots=True)
class ListenAddress:
    """An IP address and a port; with port 0 the system chooses one."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse `host:port`.

        Raises:
            ValueError: If the text has another format.
        """
        host, separator, port = text.rpartition(':')
        if not separator or not host or not port.isdecimal():
            raise ValueError(f'{text!r} is not host:port')
        return cls(host, int(port))

    def __str__(self) -> str:
        """Return `host:port`."""
        return f'{self.host}:{self.port}'
