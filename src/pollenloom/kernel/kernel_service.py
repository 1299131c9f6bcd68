"""Base class of the services that the kernel runs."""

from abc import ABC, abstractmethod
from typing import ClassVar

from pollenloom.kernel.kernel_service_name import KernelServiceName


class KernelService(ABC):
    """A part of the router with a name, a start and a stop."""

    name: ClassVar[KernelServiceName]

    @abstractmethod
    async def start(self) -> None:
        """Start tasks and listeners; services started earlier are ready."""

    async def leave(self) -> None:
        """Announce the planned stop to peers; called before any drain."""

    async def drain(self) -> None:
        """Finish accepted work; called before any service is stopped."""

    @abstractmethod
    async def stop(self) -> None:
        """Release what `start` acquired; the kernel then ends the tasks."""
