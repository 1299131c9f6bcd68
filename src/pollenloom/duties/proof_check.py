"""Check of a proof directly before a call is sent."""

from pollenloom.duties.duty_keeper import DutyKeeper
from pollenloom.duties.duty_proof import DutyProof
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName


class ProofCheck:
    """Tells how long a proof is still valid.

    The keeper is asked again each time, since a machine may have been
    suspended since the proof was made, without a change of its monotonic time.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def valid_seconds(self, proof: DutyProof) -> float:
        """Return for how long a call may go on under a proof; 0 if not."""
        now = self.kernel.clock.monotonic()
        keeper = self.kernel.find(KernelServiceName.DUTIES, DutyKeeper)
        current = keeper.proof(proof.duty, now)
        if current is None or current.number != proof.number:
            return 0
        return min(current.valid_until, proof.valid_until) - now
