"""Which services a router runs, in the order of their start.

Concrete classes of services are imported only here.
"""

from collections.abc import Callable

from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.observability.event_log import EventLog
from pollenloom.operations.operator_server import OperatorServer
from pollenloom.settings.router_settings import RouterSettings

ServiceFactory = Callable[[Kernel, RouterSettings], KernelService]


def make_event_log(kernel: Kernel, _: RouterSettings) -> KernelService:
    """Return the event log."""
    return EventLog(kernel.clock)


def make_log_reader(kernel: Kernel, settings: RouterSettings) -> KernelService:
    """Return the service that follows the platform's log."""
    return LogReader.from_config(kernel, settings.platform)


def make_configuration(kernel: Kernel, _: RouterSettings) -> KernelService:
    """Return the service that holds the configuration in force."""
    return ConfigurationStore(kernel)


def service_factories(_: RouterSettings) -> tuple[ServiceFactory, ...]:
    """Return one factory for each service, in the order of their start.

    The operators' address comes up early, so that a router that waits for
    the rest of its services answers `/healthz`. Callers are let in last.
    """
    return (
        make_event_log,
        OperatorServer.from_config,
    )
