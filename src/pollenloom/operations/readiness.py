"""Readiness of this router for callers."""

from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_phase import KernelPhase
from pollenloom.operations.operator_dependencies import OperatorDependencies


class Readiness:
    """Checks readiness for the probes of the platform's load balancer."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.dependencies = OperatorDependencies(kernel)

    def reason_not_ready(self) -> str:
        """Return why the router is not ready; empty if it is."""
        if self.kernel.phase is not KernelPhase.RUNNING:
            return f'the router is {self.kernel.phase.value}'
        if not self.dependencies.configuration.current.revision:
            return 'no configuration is known yet'
        if not self.dependencies.configuration.is_complete:
            return 'no list of VMs is known yet'
        return ''
