"""Whether a refused connection tells that a router is dead."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollenloom.core.ids import VmId

FIRST_PAUSE_SECONDS = 1.5
MAX_PAUSE_SECONDS = 24


class RefusalEvaluator:
    """Takes refusals as signs of death unless they prove wrong.

    A path may refuse connections to a router that others reach. Each time
    that such a router refutes, refusals count for nothing for a time that
    doubles, until a connection opens.
    """

    def __init__(self) -> None:
        self.pending: set[VmId] = set()
        self.pauses: dict[VmId, float] = {}
        self.paused_until: dict[VmId, float] = {}

    def refused(self, vm: 'VmId', now: float) -> bool:
        """Note a refusal; return whether to suspect the router."""
        if now < self.paused_until.get(vm, now):
            return False
        self.pending.add(vm)
        return True

    def refuted(self, vm: 'VmId', now: float) -> None:
        """Note that a router is alive by the word of others."""
        if vm in self.pending:
            self.pending.discard(vm)
            pause = self.pauses.get(vm, FIRST_PAUSE_SECONDS)
            self.paused_until[vm] = now + pause
            self.pauses[vm] = min(2 * pause, MAX_PAUSE_SECONDS)

    def reset(self, vm: 'VmId') -> None:
        """Note that a connection opened, or that the router is dead."""
        self.pending.discard(vm)
        self.pauses.pop(vm, None)
        self.paused_until.pop(vm, None)
