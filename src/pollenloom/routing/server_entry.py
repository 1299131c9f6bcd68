"""What a backend server says of itself in the platform's store."""

from dataclasses import dataclass

from pollenloom.core.ids import DataCentreId, ServerId, ServiceId, VersionId


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One registration of a backend server.

    Attributes:
        address: `host:port`.
        weights: Version of the model that it serves; 0 if none.
        cold_seconds: How long it stays cold, as of the entry's time.
        started_at: Wall time of its start, seconds; tells two runs of one
            id apart.
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
