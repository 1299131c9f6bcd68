"""State of a version move, held by all routers."""

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
        MoveState.REVERTED: 2,
    }
)
# In a rank, the state comes before the stage and the stage before the tests.
RANK_FACTOR: Final = 1_000_000
STAGE_FACTOR: Final = 10_000


class RouteEvidence(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of both versions on one route.

    Attributes:
        route: Route of the service.
        old: Counts of the version that serves before the move.
        new: Counts of the version that replaces it.
        verdict: Value of the `EvidenceVerdict` on these counts.
    """

    route: RouteId
    old: VersionCounts
    new: VersionCounts
    verdict: str


class MoveRecord(msgspec.Struct, frozen=True, kw_only=True):
    """State of a move, with the evidence that led to it.

    Attributes:
        move: Id of the move.
        service: Service whose traffic moves.
        from_version: Version that serves before the move.
        to_version: Version that replaces it.
        state: `RUNNING`, `DONE` or `REVERTED`.
        stage: Index in `STAGE_SHARES` of the share that the new version gets.
        since: Start of the stage, Unix seconds.
        decided_at: Time of the latest change, Unix seconds.
        reason: Why the move is in this state, for operators.
        evidence: Counts by route at the latest decision.
        spent_tests: Sequential tests that were passed in this move so far,
            one for each route of each stage; the last stage has many tests.
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

        `REVERTED` replaces `DONE`, `DONE` replaces `RUNNING`, and a later
        stage replaces an earlier one, so that two VMs that evaluate the move
        on both sides of a partition converge on the same, safer state.
        """
        tests = min(self.spent_tests, STAGE_FACTOR - 1)
        within_state = self.stage * STAGE_FACTOR + tests
        return STATE_RANKS[self.state] * RANK_FACTOR + within_state
