"""Backend servers that may receive requests, from entries in the store."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from pollenloom.core.ids import DataCentreId, ServerId, ServiceId
from pollenloom.routing.server_entry import ServerEntry
from pollenloom.routing.service_profile import ServiceProfile
from pollenloom.routing.store_position import StorePosition

# Entries that expire during a store outage are written again within two
# seconds of its end; the rest is for their delivery to this router.
EXPIRY_GRACE_SECONDS: Final = 2.3
# Entries of dropped servers are remembered for this time. The store comes back
# from copies that are some seconds old.
GONE_SECONDS: Final = 60.0


@dataclass(slots=True)
class KnownServer:
    """A server and the state derived from its entries.

    Attributes:
        entry: The newest entry.
        version: Position of that entry in the store.
        read_at: When the entry was read, monotonic seconds.
        cold_until: When the server is assumed to be warm, monotonic seconds.
        has_said_leaving: Whether the server has stated in a response that it
            leaves; holds until it starts again.
        removed_at: When its removal takes effect, monotonic seconds; None
            while it is registered.
    """

    entry: ServerEntry
    version: StorePosition
    read_at: float
    cold_until: float
    has_said_leaving: bool = False
    removed_at: float | None = None

    def is_cold(self, now: float) -> bool:
        """Whether the server is cold at `now`."""
        return now < self.cold_until

    def has_restarted_since(self, earlier: 'KnownServer') -> bool:
        """Whether the server has started again under the same id."""
        return self.entry.started_at != earlier.entry.started_at


class ServerDirectory:
    """Known servers, including leaving, cold and expired ones.

    Attributes:
        servers: By id.
        evacuated: Data centres that are out of service.
        profiles: By service, from the configuration.
        grace_until: Removals before this time take effect at this time,
            monotonic seconds.
        gone: Servers that were dropped lately, with the time, monotonic
            seconds.
    """

    def __init__(self) -> None:
        self.servers: dict[ServerId, KnownServer] = {}
        self.evacuated: set[DataCentreId] = set()
        self.profiles: Mapping[ServiceId, ServiceProfile] = {}
        self.grace_until = float('-inf')
        self.gone: dict[ServerId, tuple[float, KnownServer]] = {}

    def configure(self, profiles: Mapping[ServiceId, ServiceProfile]) -> None:
        """Apply the service profiles of a new configuration."""
        self.profiles = profiles

    def store_recovered(self, now: float) -> None:
        """Keep servers for a while whose entries expired in an outage."""
        self.grace_until = now + EXPIRY_GRACE_SECONDS

    def upsert(
        self,
        entry: ServerEntry,
        version: StorePosition,
        now: float,
        *,
        wall: float,
        is_first_read: bool,
    ) -> bool:
        """Apply an entry; return whether it differs from the last one.

        A server whose first entry is read while the router runs is assumed to
        have just started.

        Args:
            entry: Entry of the server.
            version: Position of the entry; earlier ones are ignored.
            now: Monotonic seconds.
            wall: Wall time in seconds.
            is_first_read: Whether this router reads all entries for the first
                time, so that the server may have run for long.
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
            entry,
            version,
            now,
            cold_until,
            # The entry may be older than the response, or come from a server
            # that was cut off from the store.
            has_said_leaving=known is not None
            and known.has_said_leaving
            and not is_restart,
        )
        is_registered_again = known is not None and known.removed_at is not None
        return known is None or is_registered_again or known.entry != entry

    def is_outdated(self, entry: ServerEntry, version: StorePosition) -> bool:
        """Whether an older copy of the store has an entry from before.

        Offsets of the copy can't be compared with those of the entry that is
        known. The numbers that the server itself counts can. A server that was
        dropped since then has to write a later entry.
        """
        known = self.servers.get(entry.server)
        if known is not None:
            return (
                version.era != known.version.era
                and known.entry.is_later_than(entry)
            )
        gone = self.find_gone(entry.server)
        if gone is None or version.era == gone.version.era:
            return False
        return not entry.is_later_than(gone.entry)

    def remove(self, server: ServerId, now: float) -> None:
        """Apply a removal; soon after a store outage it takes effect later."""
        known = self.servers.get(server)
        if known is not None and known.removed_at is None:
            known.removed_at = max(now, self.grace_until)

    def retain(self, servers: Iterable[ServerId], now: float) -> None:
        """Remove all servers that a full listing does not contain."""
        for server in self.servers.keys() - set(servers):
            self.remove(server, now)

    def drop_removed(self, now: float) -> tuple[ServerId, ...]:
        """Drop servers whose removal took effect; return their ids."""
        removed = tuple(
            server
            for server, known in self.servers.items()
            if known.removed_at is not None and known.removed_at <= now
        )
        for server in removed:
            self.gone[server] = (now, self.servers.pop(server))
        if removed:
            self.forget_gone(now)
        return removed

    def forget_gone(self, now: float) -> None:
        """Forget servers that were dropped a while ago."""
        earliest = now - GONE_SECONDS
        self.gone = {
            server: dropped
            for server, dropped in self.gone.items()
            if dropped[0] > earliest
        }

    def find_gone(self, server: ServerId) -> KnownServer | None:
        """Return a server that was dropped lately, as it was last known."""
        found = self.gone.get(server)
        return None if found is None else found[1]

    def evacuate(self, data_centre: DataCentreId) -> None:
        """Stop sending requests to a data centre."""
        self.evacuated.add(data_centre)

    def readmit(self, data_centre: DataCentreId, now: float) -> None:
        """Use a data centre again; its servers were idle, so they are cold."""
        if data_centre not in self.evacuated:
            return
        self.evacuated.discard(data_centre)
        for known in self.servers.values():
            if known.entry.data_centre == data_centre:
                self.mark_cold(known, now)

    def mark_cold(self, known: KnownServer, now: float) -> None:
        """Treat a server as just started at `now`."""
        known.cold_until = max(
            known.cold_until,
            now + self.cold_seconds(known.entry),
        )

    def cold_seconds(self, entry: ServerEntry) -> float:
        """Return how long a started server of the service is cold."""
        profile = self.profiles.get(entry.service)
        return 0 if profile is None else profile.cold_seconds

    def usable(self, service: ServiceId, now: float) -> list[KnownServer]:
        """Return the servers of a service that may receive requests."""
        return [
            known
            for known in self.servers.values()
            if known.entry.service == service and self.is_usable(known, now)
        ]

    def has_usable(self, service: ServiceId, now: float) -> bool:
        """Whether a server of a service may receive requests."""
        return any(
            known.entry.service == service and self.is_usable(known, now)
            for known in self.servers.values()
        )

    def is_usable(self, known: KnownServer, now: float) -> bool:
        """Whether a server may receive requests."""
        return (
            not known.entry.is_leaving
            and not known.has_said_leaving
            and (known.removed_at is None or known.removed_at > now)
            and known.entry.data_centre not in self.evacuated
        )
