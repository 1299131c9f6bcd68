"""Selection of the server for a grant."""

from collections.abc import Iterable

from pollenloom.admission.fair_queue import PendingRequest
from pollenloom.admission.server_state import ServerState
from pollenloom.admission.version_credit import VersionCredit

# Difference of relative load that a fully cached prompt outweighs.
AFFINITY_WEIGHT = 0.5


class ServerChoice:
    """Selects the server with the best balance of load and cached prefix.

    Never selects a server at its limit, an excluded one, or one whose version
    has used up its share.
    """

    def __init__(self, credit: VersionCredit, *, affinity: bool) -> None:
        self.credit = credit
        self.affinity = affinity

    def choose(
        self,
        servers: Iterable[ServerState],
        pending: PendingRequest,
        now: float,
    ) -> ServerState | None:
        """Return the server with the lowest cost, or None if none is free."""
        candidates = [
            state
            for state in servers
            if state.server.server not in pending.excluded
            and state.free_slots(now) > 0
            and self.credit.allows(state.server.version, now)
        ]
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda state: (
                self.cost(state, pending, now),
                state.server.server,
            ),
        )

    def cost(
        self,
        state: ServerState,
        pending: PendingRequest,
        now: float,
    ) -> float:
        """Relative load, less the weighted cached part of the prompt."""
        load = state.in_flight / state.limit_at(now)
        if not self.affinity or not pending.prefixes:
            return load
        cached = state.prefix_predictor.cached_fraction(pending.prefixes, now)
        return load - AFFINITY_WEIGHT * cached
