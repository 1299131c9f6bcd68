"""Evaluation of refused connections as a sign that a router is dead."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId

# How long refusals are ignored after the first refutation.
INITIAL_PAUSE_SECONDS = 1.5
MAX_PAUSE_SECONDS = 24


class RefusalEvaluator:
    """Decides whether a refused connection makes a router a suspect.

    A network path may refuse connections to a router that other routers
    reach. Each time such a router refutes the suspicion, its refusals are
    ignored for a pause, which doubles until a connection opens.

    Attributes:
        pending: Routers that were suspected and have not refuted.
        pauses: Length of the next pause, in seconds.
        paused_until: End of the current pause, monotonic seconds.
    """

    def __init__(self) -> None:
        self.pending: set[VmId] = set()
        self.pauses: dict[VmId, float] = {}
        self.paused_until: dict[VmId, float] = {}

    def record_refusal(self, vm: 'VmId', now: float) -> bool:
        """Record a refusal; return whether to suspect the router."""
        if now < self.paused_until.get(vm, now):
            return False
        self.pending.add(vm)
        return True

    def record_refutation(self, vm: 'VmId', now: float) -> None:
        """Start a pause for a router that refuted a suspicion from here."""
        if vm in self.pending:
            self.pending.discard(vm)
            pause = self.pauses.get(vm, INITIAL_PAUSE_SECONDS)
            self.paused_until[vm] = now + pause
            self.pauses[vm] = min(2 * pause, MAX_PAUSE_SECONDS)

    def reset(self, vm: 'VmId') -> None:
        """Reset the pauses after a connection opened or the router is dead."""
        self.pending.discard(vm)
        self.pauses.pop(vm, None)
        self.paused_until.pop(vm, None)
