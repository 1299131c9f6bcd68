"""Registration of a backend server in the platform's store."""

from dataclasses import dataclass

from pollenloom.core.ids import DataCentreId, ServerId, ServiceId, VersionId


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One registration of a backend server.

    Attributes:
        address: `host:port`.
        version: Version that the server runs.
        slots: Requests that the server runs at a time.
        is_leaving: Whether the server drains and gets no new requests.
        cold_seconds: How long it stays cold, from the time of the entry.
        started_at: Wall time of its start, seconds; distinguishes restarts
            under the same id; 0 if unknown.
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
