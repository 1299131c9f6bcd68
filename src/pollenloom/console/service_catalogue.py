"""Services of `pollenloom router`, in their start order.

Only this module selects the implementation of each service.
"""

from collections.abc import Callable
from typing import Final

from pollenloom.admission.admission_factory import make_admission
from pollenloom.admission.engine_reports.http_engine_reports import (
    HttpEngineReports,
)
from pollenloom.configuration.configuration_store import ConfigurationStore
from pollenloom.dispatch.dispatcher import Dispatcher
from pollenloom.frontend.caller_server import CallerServer
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.log_service.http_platform import HttpPlatform
from pollenloom.log_service.log_reader import LogReader
from pollenloom.membership.gossip_membership import GossipMembership
from pollenloom.membership.register_store import RegisterStore
from pollenloom.moves.move_controller import MoveController
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.metrics import Metrics
from pollenloom.operations.operator_server import OperatorServer
from pollenloom.orders.order_coordinator import OrderCoordinator
from pollenloom.peers.websocket_peer_network import WebsocketPeerNetwork
from pollenloom.settings.router_settings import RouterSettings

ServiceFactory = Callable[[Kernel, RouterSettings], KernelService]


def make_event_log(kernel: Kernel, _: RouterSettings) -> KernelService:
    """Return the event log."""
    return EventLog(kernel.clock)


def make_metrics(_kernel: Kernel, _: RouterSettings) -> KernelService:
    """Return the metrics of the process."""
    return Metrics()


def make_platform(_: Kernel, settings: RouterSettings) -> KernelService:
    """Return the client of the platform."""
    return HttpPlatform.from_config(settings.platform)


def make_log_reader(kernel: Kernel, settings: RouterSettings) -> KernelService:
    """Return the service that reads the platform's log."""
    return LogReader.from_config(kernel, settings.platform)


def make_configuration(kernel: Kernel, _: RouterSettings) -> KernelService:
    """Return the service that holds the configuration in force."""
    return ConfigurationStore(kernel)


# Start order. The operators' server starts early, so that `/healthz` responds
# while the router waits for its other services. The callers' server is last.
FACTORIES: Final[tuple[ServiceFactory, ...]] = (
    make_event_log,
    make_metrics,
    OperatorServer.from_config,
    make_platform,
    WebsocketPeerNetwork.from_config,
    GossipMembership.from_config,
    RegisterStore.from_config,
    make_log_reader,
    make_configuration,
    MoveController.from_config,
    HttpEngineReports.from_config,
    make_admission,
    Dispatcher.from_config,
    OrderCoordinator.from_config,
    CallerServer.from_config,
)


def service_factories(_: RouterSettings) -> tuple[ServiceFactory, ...]:
    """Return one factory for each service, in start order."""
    return FACTORIES
