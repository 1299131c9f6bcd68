"""Interface of the service that provides configuration and servers."""

from abc import abstractmethod
from collections.abc import Callable
from typing import ClassVar

from pollenloom.catalogue.operator_change import MoveOrder
from pollenloom.core.ids import ServiceId
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.routing.routing_configuration import RoutingConfiguration
from pollenloom.routing.server_directory import KnownServer, ServerDirectory


class Catalogue(KernelService):
    """Configuration and backend servers that this router uses.

    Attributes:
        configuration: Newest known configuration; None until the first one
            was read.
        directory: Known backend servers.
        move_orders: Version moves that operators ordered, by service.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.CATALOGUE

    configuration: RoutingConfiguration | None
    directory: ServerDirectory
    move_orders: dict[ServiceId, MoveOrder]

    @abstractmethod
    def watch(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change of configuration or servers."""

    @abstractmethod
    def server_says_leaving(self, known: KnownServer) -> None:
        """Stop sending to a server that stated in a response that it leaves.

        Its entry may say so later, or never if this router does not reach the
        store.
        """

    @property
    @abstractmethod
    def is_complete(self) -> bool:
        """Whether configuration and servers were both read at least once."""
