"""Access of the operators' server to the metrics of the process."""

from typing import ClassVar, Protocol, runtime_checkable

from prometheus_client import CollectorRegistry

from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName


@runtime_checkable
class MetricsSource(Protocol):
    """A service under the name METRICS that has a registry."""

    registry: CollectorRegistry


class MetricsHolder(KernelService):
    """Provides a registry if the process has no other METRICS service."""

    name: ClassVar[KernelServiceName] = KernelServiceName.METRICS

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry

    async def start(self) -> None:
        """Do nothing; the registry is ready."""

    async def stop(self) -> None:
        """Do nothing; the registry holds no resources."""
