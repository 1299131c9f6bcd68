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
    """Current configuration, data centre states and backend servers."""

    name: ClassVar[KernelServiceName] = KernelServiceName.CONFIGURATION

    @property
    @abstractmethod
    def current(self) -> Configuration:
        """Configuration in force; revision 0 until one has been received."""

    @property
    @abstractmethod
    def is_complete(self) -> bool:
        """Whether a configuration and a VM list have been received.

        Without both, a router would reject requests that other routers serve.
        """

    @abstractmethod
    def servers(self, service: ServiceId) -> tuple[BackendServer, ...]:
        """Backend servers that may receive new requests for a service.

        Excludes servers that are leaving, data centres that are out of
        service, and versions and data centres that the service file does not
        list.
        """

    @abstractmethod
    def data_centre_state(self, data_centre: DataCentreId) -> DataCentreState:
        """State set by the operators; `IN_SERVICE` by default."""

    @abstractmethod
    def set_data_centre_state(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> None:
        """Take a data centre out of service or back in, on all routers."""

    @abstractmethod
    def watch(self, listener: Callable[[], None]) -> None:
        """Call `listener` after changes of configuration, states or servers."""
