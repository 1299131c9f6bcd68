"""Interface of the service that knows configuration and servers."""

from abc import abstractmethod
from collections.abc import Callable
from typing import ClassVar

from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.routing_configuration import RoutingConfiguration
from pollenloom.routing.server_directory import ServerDirectory


class Catalogue(KernelService):
    """What is in force on this router.

    Attributes:
        configuration: The newest one known; None until the first was read.
        directory: Backend servers.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.CATALOGUE

    configuration: RoutingConfiguration | None
    directory: ServerDirectory

    @abstractmethod
    def watch(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change."""

    @property
    @abstractmethod
    def is_complete(self) -> bool:
        """Whether configuration and servers were read once."""
