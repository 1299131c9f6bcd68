"""Servers of a service, of which each request looks at a few."""

from collections.abc import Collection, Iterator
from itertools import islice
from random import Random
from typing import Final

from pollenloom.admission.selection_context import SelectionContext
from pollenloom.admission.server_candidates import (
    AvailableServer,
    LoadLookup,
    ServerCandidates,
    is_elsewhere,
)
from pollenloom.admission.server_speeds import ServerSpeeds
from pollenloom.core.ids import DataCentreId, ServerId
from pollenloom.routing.server_directory import KnownServer

# Servers with room among which a request without a preferred one chooses. All
# routers know the same loads, up to 0.3 s old, and would choose the same server
# among all of them.
SAMPLE_SIZE: Final = 3
# Servers that are drawn before all others are tried in turn.
DRAWS: Final = 6


class SampledCandidates(ServerCandidates):
    """Evaluates servers when a request looks at them.

    Attributes:
        draws: Random choices, which differ between routers.
        full: Evaluated servers without room.
        versions: Versions of all servers.
        groups: Healthy servers in the own data centre and elsewhere.
    """

    def __init__(
        self,
        servers: list[KnownServer],
        find_load: LoadLookup,
        context: SelectionContext,
        speeds: ServerSpeeds,
        draws: Random,
        *,
        is_model: bool,
        own_data_centre: DataCentreId | None = None,
    ) -> None:
        self.draws = draws
        self.full: set[ServerId] = set()
        super().__init__(
            servers,
            find_load,
            context,
            speeds,
            is_model=is_model,
            own_data_centre=own_data_centre,
        )
        self.versions = {known.entry.version for known in servers}
        self.groups: list[list[KnownServer]] = [[], []]
        for known in self.healthy.values():
            group = self.groups[is_elsewhere(known, own_data_centre)]
            group.append(known)

    def evaluate_all(self) -> None:
        """Leave the servers to the requests that look at them."""

    def renew(self, context: SelectionContext) -> bool:
        """Use newer loads with the same healthy servers.

        Returns:
            Whether that is possible: all versions may be used.
        """
        if context.trial_versions or not all(
            map(context.allows_version, self.versions)
        ):
            return False
        self.context = context
        self.evaluated_at = context.now
        self.ranked = None
        self.available.clear()
        self.full.clear()
        return True

    def update_available(self, known: KnownServer) -> None:
        """Forget the evaluation of a server whose load changed."""
        self.ranked = None
        self.available.pop(known.entry.server, None)
        self.full.discard(known.entry.server)

    def find_available(self, server: ServerId) -> AvailableServer | None:
        """Return a healthy server if it has room."""
        known = self.healthy.get(server)
        if known is None or server in self.full:
            return None
        if server not in self.available:
            self.evaluate_server(known)
            if server not in self.available:
                self.full.add(server)
        return self.available.get(server)

    def rank(self) -> list[AvailableServer]:
        """Return the available servers in the order of expected delay."""
        for server in self.healthy:
            self.find_available(server)
        return super().rank()

    def is_exhausted(self, excluded: Collection[ServerId]) -> bool:
        """Whether no server can have room for a request."""
        return len(self.full) == len(self.healthy) and not excluded

    def sample(self, excluded: Collection[ServerId]) -> list[AvailableServer]:
        """Return some servers with room, own and elsewhere, at random."""
        if excluded and not self.healthy.keys() - excluded:
            return self.ranked_for(excluded)
        return [
            found
            for group in self.groups
            for found in islice(self.with_room(group, excluded), SAMPLE_SIZE)
        ]

    def with_room(
        self, group: list[KnownServer], excluded: Collection[ServerId]
    ) -> Iterator[AvailableServer]:
        """Yield servers with room in random order.

        The first ones are drawn one by one: mostly these have room, and to
        shuffle hundreds of servers takes longer.
        """
        seen: set[ServerId] = set()
        for _ in range(min(DRAWS, len(group))):
            drawn = self.draws.choice(group)
            if drawn.entry.server not in seen:
                seen.add(drawn.entry.server)
                yield from self.usable(drawn, excluded)
        first = self.draws.randrange(max(1, len(group)))
        for known in (*group[first:], *group[:first]):
            if known.entry.server not in seen:
                yield from self.usable(known, excluded)

    def usable(
        self, known: KnownServer, excluded: Collection[ServerId]
    ) -> Iterator[AvailableServer]:
        """Yield a server if it has room and is not excluded."""
        server = known.entry.server
        found = self.find_available(server)
        if found is not None and server not in excluded:
            yield found
