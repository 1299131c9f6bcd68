"""Which backend servers may get requests, by the entries of the store."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from pollenloom.core.ids import DataCentreId, ServerId, ServiceId
from pollenloom.routing.server_entry import ServerEntry
from pollenloom.routing.service_profile import ServiceProfile

# Entries that lapse while the store is away are back within two seconds of
# its return; the rest is for the way to this router.
LAPSE_SECONDS: Final = 2.3


@dataclass(slots=True)
class KnownServer:
    """A server with what was concluded from its entries.

    Attributes:
        entry: The newest entry.
        version: Offset of that entry in the store.
        read_at: When the entry was read, monotonic seconds.
        cold_until: Monotonic time at which it is taken to be warm.
        gone_at: When its removal takes effect; None while it is registered.
    """

    entry: ServerEntry
    version: int
    read_at: float
    cold_until: float
    gone_at: float | None = None

    def is_cold(self, now: float) -> bool:
        """Whether the server is cold at `now`."""
        return now < self.cold_until


class ServerDirectory:
    """Servers by id, with leaving, evacuated, lapsed and cold ones."""

    def __init__(self) -> None:
        self.servers: dict[ServerId, KnownServer] = {}
        self.evacuated: set[DataCentreId] = set()
        self.profiles: Mapping[ServiceId, ServiceProfile] = {}
        self.lapse_until = float('-inf')

    def configure(self, profiles: Mapping[ServiceId, ServiceProfile]) -> None:
        """Use the service profiles of a new configuration."""
        self.profiles = profiles

    def store_regained(self, now: float) -> None:
        """Keep servers for a moment whose entries lapsed in an outage."""
        self.lapse_until = now + LAPSE_SECONDS

    def upsert(
        self,
        entry: ServerEntry,
        version: int,
        now: float,
        *,
        wall: float,
        is_first_read: bool,
    ) -> bool:
        """Take an entry; return whether more than its age changed.

        An entry that first shows up while the router runs belongs to a
        server that has just started.
        """
        known = self.servers.get(entry.server)
        if known is not None and known.version > version:
            return False
        is_restart = known is not None and (
            known.entry.started_at != entry.started_at
        )
        is_new = known is None or is_restart
        cold_until = now + entry.cold_seconds
        if is_new and not is_first_read:
            cold_until = max(cold_until, now + self.cold_seconds(entry))
        elif is_new and entry.started_at:
            age = max(0, wall - entry.started_at)
            cold_until = max(cold_until, now + self.cold_seconds(entry) - age)
        elif known is not None:
            cold_until = max(cold_until, known.cold_until)
        self.servers[entry.server] = KnownServer(
            entry, version, now, cold_until
        )
        is_back = known is not None and known.gone_at is not None
        return known is None or is_back or known.entry != entry

    def remove(self, server: ServerId, now: float) -> None:
        """Take a removal; after an outage it takes effect later."""
        known = self.servers.get(server)
        if known is not None and known.gone_at is None:
            known.gone_at = max(now, self.lapse_until)

    def retain(self, servers: Iterable[ServerId], now: float) -> None:
        """Remove all servers but those that a whole listing names."""
        for server in self.servers.keys() - set(servers):
            self.remove(server, now)

    def drop_gone(self, now: float) -> tuple[ServerId, ...]:
        """Forget servers whose removal took effect; return their ids."""
        gone = tuple(
            server
            for server, known in self.servers.items()
            if known.gone_at is not None and known.gone_at <= now
        )
        for server in gone:
            self.servers.pop(server)
        return gone

    def evacuate(self, data_centre: DataCentreId) -> None:
        """Send nothing more to a data centre."""
        self.evacuated.add(data_centre)

    def readmit(self, data_centre: DataCentreId, now: float) -> None:
        """Use a data centre again; its servers have been idle."""
        if data_centre not in self.evacuated:
            return
        self.evacuated.discard(data_centre)
        for known in self.servers.values():
            if known.entry.data_centre == data_centre:
                self.mark_cold(known, now)

    def mark_cold(self, known: KnownServer, now: float) -> None:
        """Take a server to be cold from `now` on."""
        known.cold_until = max(
            known.cold_until,
            now + self.cold_seconds(known.entry),
        )

    def cold_seconds(self, entry: ServerEntry) -> float:
        """How long a server of the entry's service is cold."""
        profile = self.profiles.get(entry.service)
        return 0 if profile is None else profile.cold_seconds

    def usable(self, service: ServiceId, now: float) -> list[KnownServer]:
        """Return the servers of a service that may get requests."""
        return [
            known
            for known in self.servers.values()
            if known.entry.service == service
            and not known.entry.is_leaving
            and (known.gone_at is None or known.gone_at > now)
            and known.entry.data_centre not in self.evacuated
        ]
