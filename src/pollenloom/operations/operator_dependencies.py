"""Other services of the process, found by name."""

from pollenloom.admission.admission import Admission
from pollenloom.configuration.configuration_service import ConfigurationService
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.membership import Membership
from pollenloom.membership.registers import Registers
from pollenloom.observability.event_log import EventLog
from pollenloom.peers.peer_network import PeerNetwork


class OperatorDependencies:
    """Finds the services that the operators' server asks."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    @property
    def admission(self) -> Admission:
        """Admission policy."""
        return self.kernel.find(
            KernelServiceName.ADMISSION,
            Admission,
        )

    @property
    def configuration(self) -> ConfigurationService:
        """Configuration in force and data centre states."""
        return self.kernel.find(
            KernelServiceName.CONFIGURATION,
            ConfigurationService,
        )

    @property
    def events(self) -> EventLog:
        """Event records of this router."""
        return self.kernel.find(KernelServiceName.EVENTS, EventLog)

    @property
    def membership(self) -> Membership:
        """Members of the fleet."""
        return self.kernel.find(
            KernelServiceName.MEMBERSHIP,
            Membership,
        )

    @property
    def peers(self) -> PeerNetwork:
        """Network between routers."""
        return self.kernel.find(
            KernelServiceName.PEERS,
            PeerNetwork,
        )

    @property
    def registers(self) -> Registers:
        """Registers that all routers hold."""
        return self.kernel.find(
            KernelServiceName.REGISTERS,
            Registers,
        )
