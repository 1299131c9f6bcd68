"""Router with a real front end and dispatcher on top of fakes."""

from dataclasses import dataclass, field

from pollenloom.dispatch.dispatcher import Dispatcher
from pollenloom.dispatch.http_backend_client import HttpBackendClient
from pollenloom.dispatch.retry_budget import RetryBudget
from pollenloom.frontend.caller_server import CallerServer
from pollenloom.kernel.clock import Clock
from pollenloom.kernel.kernel import Kernel
from pollenloom.observability.event_log import EventLog
from pollenloom.settings.router_settings import DispatchSettings, LimitSettings
from tests.fakes.fake_backend import FakeBackend
from tests.fakes.fixed_configuration import (
    APPLICATION,
    MODEL,
    FixedConfiguration,
)
from tests.fakes.forwarding_orders import ForwardingOrders
from tests.fakes.ready_admission import ReadyAdmission


@dataclass
class CallerRouter:
    """Front end, dispatcher, and fakes of the services that they use.

    Attributes:
        limits: Limits of the front end.
        clock: Clock of all services.
        settings: Settings of the dispatcher.
        backends: Backend servers, once started.
    """

    limits: LimitSettings
    clock: Clock = field(default_factory=Clock)
    settings: DispatchSettings = field(default_factory=DispatchSettings)
    backends: list[FakeBackend] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Register the services in the order in which they start."""
        self.kernel = Kernel(self.clock)
        self.events = EventLog(self.clock)
        self.configuration = FixedConfiguration()
        self.admission = ReadyAdmission(self.clock)
        self.dispatcher = Dispatcher(
            self.kernel,
            HttpBackendClient(self.clock, self.settings),
            RetryBudget(),
            self.settings,
        )
        self.orders = ForwardingOrders(self.dispatcher)
        self.callers = CallerServer(self.kernel, '127.0.0.1:0', self.limits)
        for service in (
            self.events,
            self.configuration,
            self.admission,
            self.dispatcher,
            self.orders,
            self.callers,
        ):
            self.kernel.register(service)

    async def start(self, backends: int) -> None:
        """Start this many backend servers, then the services."""
        for number in range(backends):
            backend = FakeBackend(f'server-{number}')
            await backend.start()
            self.backends.append(backend)
            for service in (MODEL, APPLICATION):
                self.admission.servers.append(backend.server(service))
        await self.kernel.start()

    async def stop(self) -> None:
        """Stop the services, then the backend servers."""
        await self.kernel.stop()
        for backend in self.backends:
            await backend.stop()

    @property
    def url(self) -> str:
        """Base URL on which callers send requests."""
        return f'http://{self.callers.address}'

    def event_names(self) -> list[str]:
        """Return the names of the recorded events, oldest first."""
        return [event.name for event in self.events.events]
