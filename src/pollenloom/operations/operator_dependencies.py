"""Kernel services that the operators' server uses."""

from pollenloom.admission.admission import Admission
from pollenloom.configuration.configuration_service import ConfigurationService
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.membership.membership import Membership
from pollenloom.membership.registers import Registers
from pollenloom.observability.event_log import EventLog
from pollenloom.peers.peer_network import PeerNetwork


class OperatorDependencies:
    """Finds services of the kernel by name."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    @property
    def admission(self) -> Admission:
        """Admission service."""
        return self.kernel.find(
            KernelServiceName.ADMISSION,
            Admission,
        )

    @property
    def configuration(self) -> ConfigurationService:
        """Configuration service, with data centre states."""
        return self.kernel.find(
            KernelServiceName.CONFIGURATION,
            ConfigurationService,
        )

    @property
    def events(self) -> EventLog:
        """Event log of this router."""
        return self.kernel.find(KernelServiceName.EVENTS, EventLog)

    @property
    def membership(self) -> Membership:
        """Membership service."""
        return self.kernel.find(
            KernelServiceName.MEMBERSHIP,
            Membership,
        )

    @property
    def peers(self) -> PeerNetwork:
        """Peer network."""
        return self.kernel.find(
            KernelServiceName.PEERS,
            PeerNetwork,
        )

    @property
    def registers(self) -> Registers:
        """Registers that are replicated to all routers."""
        return self.kernel.find(
            KernelServiceName.REGISTERS,
            Registers,
        )
