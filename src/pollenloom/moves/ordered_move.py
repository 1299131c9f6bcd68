"""A version move that operators ordered, as one router knows it."""

from dataclasses import dataclass, field
from typing import Final

from pollenloom.catalogue.operator_change import MoveOrder
from pollenloom.core.ids import VersionId
from pollenloom.core.states import MoveState
from pollenloom.moves.change_test import ChangeTest

# The move ends this early, as shares of its time: the rest is for a store that
# does not respond at first and for routers that take over.
ACCEPT_TIME_SHARE: Final = 0.8
LAST_ACCEPT_TIME_SHARE: Final = 0.88
REVERT_TIME_SHARE: Final = 0.95
# Responses that show a version to be good before the last moment.
ENOUGH_RESPONSES: Final = 30


@dataclass(slots=True)
class OrderedMove:
    """State and evidence of one move.

    Attributes:
        order: The order.
        to_version: Version that replaces all others.
        ordered_at: When this router read the order, monotonic seconds.
        state: Latest state in the store; None before one was read.
        is_stopped: Whether this router found the version bad.
        is_lost: Whether the store lacks the state, so that it has to be
            written again.
        test: Test of the responses of the whole fleet.
        due_since: When this router first found that the state must change,
            monotonic seconds; None while it need not.
    """

    order: MoveOrder
    to_version: VersionId
    ordered_at: float
    state: MoveState | None = None
    is_stopped: bool = False
    is_lost: bool = False
    test: ChangeTest = field(init=False)
    due_since: float | None = None

    def __post_init__(self) -> None:
        """Create the test."""
        self.test = ChangeTest(self.to_version)

    @property
    def has_ended(self) -> bool:
        """Whether the store has the final state."""
        return self.state in {MoveState.DONE, MoveState.REVERTED}

    def share(self, version: VersionId, trial_share: float) -> float:
        """Return the share of the requests that a version may get, 0 to 1."""
        if version != self.to_version:
            return 0 if self.state is MoveState.DONE else 1
        if self.state is MoveState.DONE:
            return 1
        if self.state is MoveState.REVERTED or self.is_stopped:
            return 0
        return trial_share

    def next_state(self, now: float, *, sees_fleet: bool) -> MoveState:
        """Return the state that the store should have at `now`.

        Args:
            now: Monotonic seconds.
            sees_fleet: Whether the evidence covers most of the routers.
        """
        if self.state is not None and self.has_ended:
            return self.state
        if self.is_stopped:
            return MoveState.REVERTED
        elapsed = (now - self.ordered_at) / max(1, self.order.seconds)
        if elapsed >= REVERT_TIME_SHARE:
            return MoveState.REVERTED
        is_proven = sees_fleet and not self.test.is_suspect
        if elapsed >= LAST_ACCEPT_TIME_SHARE:
            is_proven = is_proven and self.test.responses > 0
        else:
            is_proven = is_proven and self.test.responses >= ENOUGH_RESPONSES
        if elapsed >= ACCEPT_TIME_SHARE and is_proven:
            return MoveState.DONE
        return MoveState.RUNNING
