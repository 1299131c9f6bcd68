"""Registration of a backend server in the platform's store."""

import re
from dataclasses import dataclass, field
from typing import Final

from pollenloom.core.host_port import split_remote_address
from pollenloom.core.ids import DataCentreId, ServerId, ServiceId, VersionId

# An id is a header value, and a key of the store, which has at most 255 bytes.
SERVER_ID: Final = re.compile(r'[!-~]{1,255}')
# Engines batch hundreds of requests. Each has a connection, and one machine
# has at most so many ports for them.
MAX_SLOTS: Final = 65_536
# A day. Servers warm up in seconds to minutes; one that is cold for much longer
# would hardly be used.
MAX_COLD_SECONDS: Final = 86_400.0
# The end of the year 9999, the last that calendars of the library have.
LATEST_START: Final = 253_402_300_800.0


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One registration of a backend server.

    Programs other than backend servers write entries too, so the values are
    validated before any of them is used.

    Attributes:
        server: Its id; printable ASCII without spaces.
        address: `host:port`.
        version: Version that the server runs.
        slots: Requests that the server runs at a time.
        is_leaving: Whether the server drains and gets no new requests.
        cold_seconds: How long it stays cold, from the time of the entry.
        started_at: Wall time of its start, seconds; distinguishes restarts
            under the same id; 0 if unknown.
        sequence: Number of the entry, which the server counts from its start.

    Raises:
        ValueError: If a value is out of range.
    """

    server: ServerId
    service: ServiceId
    address: str
    data_centre: DataCentreId
    version: VersionId
    slots: int
    is_leaving: bool
    cold_seconds: float
    started_at: float
    # Rises with each heartbeat, in which nothing else may have changed.
    sequence: int = field(default=0, compare=False)

    def __post_init__(self) -> None:
        """Validate the values.

        Raises:
            ValueError: If one is out of range.
        """
        if not SERVER_ID.fullmatch(self.server):
            raise ValueError('the id is not printable ASCII')
        split_remote_address(self.address)
        if not 1 <= self.slots <= MAX_SLOTS:
            raise ValueError('slots out of range')
        if not 0 <= self.cold_seconds <= MAX_COLD_SECONDS:
            raise ValueError('cold time out of range')
        if not 0 <= self.started_at < LATEST_START:
            raise ValueError('start out of range')

    def is_later_than(self, other: 'ServerEntry') -> bool:
        """Whether the server wrote this entry after another one of its own."""
        return (self.started_at, self.sequence) > (
            other.started_at,
            other.sequence,
        )
