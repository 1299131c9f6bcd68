"""Interface of the service that holds the configuration in force."""

from abc import abstractmethod
from collections.abc import Callable
from typing import ClassVar

from pollenloom.configuration.configuration import Configuration
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import DataCentreId, ServiceId
from pollenloom.core.states import DataCentreState
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName


class ConfigurationService(KernelService):
    """Configuration, data centre states and backend servers, as known now."""

    name: ClassVar[KernelServiceName] = KernelServiceName.CONFIGURATION

    @property
    @abstractmethod
    def current(self) -> Configuration:
        """Configuration in force; revision 0 before the first is known."""

    @property
    @abstractmethod
    def is_complete(self) -> bool:
        """Whether a configuration and a VM list are known.

        Without both, a router would refuse requests that others can serve.
        """

    @abstractmethod
    def servers(self, service: ServiceId) -> tuple[BackendServer, ...]:
        """Servers that may get new work for a service.

        Leaves out leaving servers, data centres that are out or not listed
        by the service, and versions that the service does not list.
        """

    @abstractmethod
    def data_centre_state(self, data_centre: DataCentreId) -> DataCentreState:
        """State set by the operators; in service unless taken out."""

    @abstractmethod
    def set_data_centre_state(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> None:
        """Take a data centre out or bring it back, on all routers."""

    @abstractmethod
    def watch(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of anything above."""
