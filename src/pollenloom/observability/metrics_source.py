"""Where the operators' server finds the metrics of the process."""

from typing import ClassVar, Protocol, runtime_checkable

from prometheus_client import CollectorRegistry

from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName


@runtime_checkable
class MetricsSource(Protocol):
    """Any service under the name METRICS that has a registry."""

    registry: CollectorRegistry


class MetricsHolder(KernelService):
    """Makes a registry known to the kernel when nothing else does."""

    name: ClassVar[KernelServiceName] = KernelServiceName.METRICS

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry

    async def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""
