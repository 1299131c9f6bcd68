"""Whether this router should get callers."""

from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_phase import KernelPhase
from pollenloom.operations.operator_dependencies import OperatorDependencies


class Readiness:
    """Answers the platform's balancer."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.dependencies = OperatorDependencies(kernel)

    def reason_against(self) -> str:
        """Return why callers should go elsewhere; empty if ready."""
        if self.kernel.phase is not KernelPhase.RUNNING:
            return f'the router is {self.kernel.phase.value}'
        if not self.dependencies.configuration.current.revision:
            return 'no configuration is known yet'
        if not self.dependencies.configuration.is_complete:
            return 'no list of VMs is known yet'
        return ''
