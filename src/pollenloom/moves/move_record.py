"""State of a version move, as all routers hold it."""

from types import MappingProxyType
from typing import Final

import msgspec

from pollenloom.core.ids import MoveId, RouteId, ServiceId, VersionId
from pollenloom.core.states import MoveState
from pollenloom.moves.version_counts import VersionCounts

STATE_RANKS: Final = MappingProxyType(
    {
        MoveState.RUNNING: 0,
        MoveState.DONE: 1,
        MoveState.TAKEN_BACK: 2,
    }
)
RANK_FACTOR: Final = 1_000_000
STAGE_FACTOR: Final = 10_000


class RouteEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of both versions on one route.

    Attributes:
        route: Route of the service.
        old: Counts of the version that serves before the move.
        new: Counts of the version that takes over.
        verdict: What they say.
    """

    route: RouteId
    old: VersionCounts
    new: VersionCounts
    verdict: str


class MoveRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Report on a move.

    Attributes:
        move: Id of the move.
        service: Service that moves.
        from_version: Version that serves before.
        to_version: Version that takes over.
        state: Running, done or taken back.
        stage: Index of the share that the new version gets.
        since: Start of the stage, Unix seconds.
        decided_at: Time of the latest change, Unix seconds.
        reason: Why it is in this state.
        evidence: Counts by route when it was decided.
        spent_tests: Tests begun in this move so far.
    """

    move: MoveId
    service: ServiceId
    from_version: VersionId
    to_version: VersionId
    state: MoveState
    stage: int
    since: float
    decided_at: float
    reason: str
    evidence: tuple[RouteEvidence, ...] = ()
    spent_tests: int = 0

    @property
    def rank(self) -> int:
        """Order in which records replace each other.

        Taken back replaces done, done replaces running, and a later stage an
        earlier one, so that two judges on both sides of a partition end up
        with the same, safer state.
        """
        tests = min(self.spent_tests, STAGE_FACTOR - 1)
        within_state = self.stage * STAGE_FACTOR + tests
        return STATE_RANKS[self.state] * RANK_FACTOR + within_state
