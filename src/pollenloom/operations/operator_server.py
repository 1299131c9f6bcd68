"""HTTP server for operators."""

import socket
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, ClassVar, Final

from absl import logging
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    generate_latest,
)
from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import NotFound, SanicException
from sanic.response import raw

from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import DataCentreId
from pollenloom.core.states import DataCentreState
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.metrics_source import MetricsSource
from pollenloom.operations.answers import (
    problem_answer,
    state_answer,
    struct_answer,
)
from pollenloom.operations.bearer_token import BearerToken
from pollenloom.operations.data_centre_control import DataCentreControl
from pollenloom.operations.fleet_reporter import FleetReporter
from pollenloom.operations.operator_dependencies import OperatorDependencies
from pollenloom.operations.peer_questions import PeerQuestions
from pollenloom.operations.readiness import Readiness
from pollenloom.operations.status_collector import StatusCollector
from pollenloom.settings.router_settings import RouterSettings

if TYPE_CHECKING:
    from sanic.server import AsyncioServer

# Probes come from the platform's balancer, which has no token.
OPEN_PATHS: Final = frozenset(('/healthz', '/readyz'))
LARGEST_REQUEST_BYTES: Final = 65_536
BACKLOG: Final = 128
ACTIONS: Final = MappingProxyType(
    {
        'drain': DataCentreState.OUT,
        'restore': DataCentreState.IN_SERVICE,
    }
)


class OperatorServer(KernelService):
    """Status, metrics, health, event records and data centre changes."""

    name: ClassVar[KernelServiceName] = KernelServiceName.OPERATIONS

    def __init__(
        self,
        kernel: Kernel,
        address: str,
        token: BearerToken,
        app_name: str,
    ) -> None:
        self.kernel = kernel
        self.address = address
        self.token = token
        self.reporter = FleetReporter(kernel)
        self.control = DataCentreControl(kernel)
        self.questions = PeerQuestions(kernel, self.reporter, self.control)
        self.dependencies = OperatorDependencies(kernel)
        self.readiness = Readiness(kernel)
        self.registry = CollectorRegistry()
        self.state_registry = CollectorRegistry()
        self.state_registry.register(StatusCollector(kernel))
        self.app_name = app_name
        self.server: AsyncioServer | None = None

    @classmethod
    def from_config(
        cls,
        kernel: Kernel,
        settings: RouterSettings,
    ) -> 'OperatorServer':
        """Make the server of one router.

        Raises:
            OSError: If the token file cannot be read.
            ValueError: If its token is too short.
        """
        token = BearerToken.from_file(settings.operator_token_file)
        app_name = f'operators-{settings.vm}'
        return cls(kernel, settings.operators, token, app_name)

    async def start(self) -> None:
        """Listen; answers `/healthz` before the other services are up."""
        self.questions.subscribe()
        self.dependencies.configuration.watch(self.control.notify)
        host, port = self.address.rsplit(':', 1)
        # Sanic reads port 0 as its default port, so the socket is made here.
        listener = socket.create_server((host, int(port)), backlog=BACKLOG)
        bound_host, bound_port = listener.getsockname()
        # The declared type allows None only for a deprecated argument.
        server: Any = await self.make_app().create_server(
            sock=listener,
            access_log=False,
            return_asyncio_server=True,
            asyncio_server_kwargs={'start_serving': False},
        )
        await server.startup()
        await server.start_serving()
        self.server = server
        self.address = f'{bound_host}:{bound_port}'

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is None:
            return
        server: Any = self.server
        server.close()
        for connection in tuple(server.connections):
            connection.close()
        await server.wait_closed()
        Sanic.unregister_app(self.server.app)
        self.server = None

    def make_app(self) -> 'Sanic[Any, Any]':
        """Return the application with its routes."""
        app = Sanic(self.app_name, configure_logging=False)
        app.config.MOTD = False
        # It rewrites Sanic's own methods, which fails for a second application
        # in the same process.
        app.config.TOUCHUP = False
        app.config.REQUEST_MAX_SIZE = LARGEST_REQUEST_BYTES
        app.register_middleware(self.check_token, 'request')
        app.error_handler.add(SanicException, self.refused)
        app.error_handler.add(Exception, self.failed)
        app.add_route(self.healthz, '/healthz')
        app.add_route(self.readyz, '/readyz')
        app.add_route(self.status, '/status')
        app.add_route(self.metrics, '/metrics')
        app.add_route(self.events, '/events')
        app.add_route(
            self.change_data_centre,
            '/data-centres/<data_centre:str>/<action:str>',
            methods=['POST'],
            unquote=True,
        )
        return app

    async def check_token(self, request: Request) -> HTTPResponse | None:
        """Refuse a request without the operators' token."""
        if request.path in OPEN_PATHS:
            return None
        if self.token.matches(request.headers.get('authorization')):
            return None
        detail = 'the operators token is missing or wrong'
        return problem_answer(Failure(ErrorKind.UNAUTHENTICATED, detail))

    async def refused(self, _: Request, error: SanicException) -> HTTPResponse:
        """Answer a request that no route takes, or that is malformed."""
        kind = ErrorKind.INVALID_REQUEST
        if isinstance(error, NotFound):
            kind = ErrorKind.UNKNOWN_ROUTE
        return problem_answer(Failure(kind, str(error)))

    async def failed(self, request: Request, error: Exception) -> HTTPResponse:
        """Log a fault; the operator is told where to look."""
        logging.error(
            'operator_request_failed %s %s',
            request.method,
            request.path,
            exc_info=error,
        )
        detail = 'the router could not answer; its log tells why'
        return problem_answer(Failure(ErrorKind.INTERNAL, detail))

    async def healthz(self, _: Request) -> HTTPResponse:
        """Tell that the event loop runs."""
        return state_answer(self.kernel.phase.value, HTTPStatus.OK)

    async def readyz(self, _: Request) -> HTTPResponse:
        """Tell whether callers may come."""
        reason = self.readiness.reason_against()
        if reason:
            return state_answer(reason, HTTPStatus.SERVICE_UNAVAILABLE)
        return state_answer('ready', HTTPStatus.OK)

    async def status(self, _: Request) -> HTTPResponse:
        """Return the status of the fleet."""
        return struct_answer(await self.reporter.status())

    async def metrics(self, _: Request) -> HTTPResponse:
        """Return the metrics of this router."""
        source: object = self.kernel.services.get(KernelServiceName.METRICS)
        if isinstance(source, MetricsSource):
            self.registry = source.registry
        text = generate_latest(self.registry)
        text += generate_latest(self.state_registry)
        return raw(text, content_type=CONTENT_TYPE_LATEST)

    async def events(self, request: Request) -> HTTPResponse:
        """Return the event records of a subject."""
        subject = request.args.get('subject')
        if not subject:
            detail = 'give the parameter subject: /events?subject=<id>'
            return problem_answer(Failure(ErrorKind.INVALID_REQUEST, detail))
        return struct_answer(await self.reporter.events(subject))

    async def change_data_centre(
        self,
        _: Request,
        data_centre: str,
        action: str,
    ) -> HTTPResponse:
        """Take a data centre out of service or bring it back."""
        state = ACTIONS.get(action)
        if state is None:
            detail = f'{action!r} is not one of: {", ".join(ACTIONS)}'
            return problem_answer(Failure(ErrorKind.UNKNOWN_ROUTE, detail))
        outcome = await self.control.change(DataCentreId(data_centre), state)
        if outcome.is_error():
            return problem_answer(outcome.error)
        return struct_answer(outcome.ok)
