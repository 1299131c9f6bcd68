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
from pollenloom.operations.bearer_token import BearerToken
from pollenloom.operations.data_centre_control import DataCentreControl
from pollenloom.operations.fleet_reporter import FleetReporter
from pollenloom.operations.operator_dependencies import OperatorDependencies
from pollenloom.operations.peer_request_handlers import PeerRequestHandlers
from pollenloom.operations.readiness import Readiness
from pollenloom.operations.responses import (
    json_response,
    problem_response,
    state_response,
)
from pollenloom.operations.status_collector import StatusCollector
from pollenloom.settings.router_settings import RouterSettings

if TYPE_CHECKING:
    from sanic.server import AsyncioServer

# The platform's load balancer sends probes without a token.
UNAUTHENTICATED_PATHS: Final = frozenset(('/healthz', '/readyz'))
MAX_REQUEST_BYTES: Final = 65_536
BACKLOG: Final = 128
DATA_CENTRE_ACTIONS: Final = MappingProxyType(
    {
        'drain': DataCentreState.OUT,
        'restore': DataCentreState.IN_SERVICE,
    }
)


class OperatorServer(KernelService):
    """Serves status, metrics, health, events and data centre changes."""

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
        self.fleet_reporter = FleetReporter(kernel)
        self.data_centre_control = DataCentreControl(kernel)
        self.peer_request_handlers = PeerRequestHandlers(
            kernel, self.fleet_reporter, self.data_centre_control
        )
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
        """Create the server of a router.

        Raises:
            OSError: If the token file cannot be read.
            ValueError: If the token is too short.
        """
        token = BearerToken.from_file(settings.operator_token_file)
        app_name = f'operators-{settings.vm}'
        return cls(kernel, settings.operators, token, app_name)

    async def start(self) -> None:
        """Listen; `/healthz` is served before the other services start."""
        self.peer_request_handlers.register()
        self.dependencies.configuration.watch(self.data_centre_control.notify)
        host, port = self.address.rsplit(':', 1)
        # Sanic replaces port 0 with its default port, so bind the socket here.
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
        """Return the Sanic application with its routes."""
        app = Sanic(self.app_name, configure_logging=False)
        app.config.MOTD = False
        # TOUCHUP rewrites methods of Sanic, which fails for a second
        # application in the same process.
        app.config.TOUCHUP = False
        app.config.REQUEST_MAX_SIZE = MAX_REQUEST_BYTES
        app.register_middleware(self.check_token, 'request')
        app.error_handler.add(SanicException, self.handle_request_error)
        app.error_handler.add(Exception, self.handle_unexpected_error)
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
        """Reject a request without the operators' token."""
        if request.path in UNAUTHENTICATED_PATHS:
            return None
        if self.token.matches(request.headers.get('authorization')):
            return None
        detail = 'the operators token is missing or invalid'
        return problem_response(Failure(ErrorKind.UNAUTHENTICATED, detail))

    async def handle_request_error(
        self, _: Request, error: SanicException
    ) -> HTTPResponse:
        """Respond to a request that has no route or is malformed."""
        kind = ErrorKind.INVALID_REQUEST
        if isinstance(error, NotFound):
            kind = ErrorKind.UNKNOWN_ROUTE
        return problem_response(Failure(kind, str(error)))

    async def handle_unexpected_error(
        self, request: Request, error: Exception
    ) -> HTTPResponse:
        """Log an unexpected error; the response shows no details of it."""
        logging.error(
            'operator_request_failed %s %s',
            request.method,
            request.path,
            exc_info=error,
        )
        detail = 'the request failed; the log of the router has the details'
        return problem_response(Failure(ErrorKind.INTERNAL, detail))

    async def healthz(self, _: Request) -> HTTPResponse:
        """Report the phase of the process; a response proves its liveness."""
        return state_response(self.kernel.phase.value, HTTPStatus.OK)

    async def readyz(self, _: Request) -> HTTPResponse:
        """Report whether the router is ready for callers."""
        reason = self.readiness.reason_not_ready()
        if reason:
            return state_response(reason, HTTPStatus.SERVICE_UNAVAILABLE)
        return state_response('ready', HTTPStatus.OK)

    async def status(self, _: Request) -> HTTPResponse:
        """Return the status of the fleet."""
        return json_response(await self.fleet_reporter.status())

    async def metrics(self, _: Request) -> HTTPResponse:
        """Return the metrics of this router."""
        source: object = self.kernel.services.get(KernelServiceName.METRICS)
        if isinstance(source, MetricsSource):
            self.registry = source.registry
        text = generate_latest(self.registry)
        text += generate_latest(self.state_registry)
        return raw(text, content_type=CONTENT_TYPE_LATEST)

    async def events(self, request: Request) -> HTTPResponse:
        """Return the event records of a subject from all routers."""
        subject = request.args.get('subject')
        if not subject:
            detail = 'the parameter subject is required: /events?subject=<id>'
            return problem_response(Failure(ErrorKind.INVALID_REQUEST, detail))
        return json_response(await self.fleet_reporter.events(subject))

    async def change_data_centre(
        self,
        _: Request,
        data_centre: str,
        action: str,
    ) -> HTTPResponse:
        """Drain or restore a data centre."""
        state = DATA_CENTRE_ACTIONS.get(action)
        if state is None:
            detail = (
                f'{action!r} is not one of: {", ".join(DATA_CENTRE_ACTIONS)}'
            )
            return problem_response(Failure(ErrorKind.UNKNOWN_ROUTE, detail))
        outcome = await self.data_centre_control.change(
            DataCentreId(data_centre), state
        )
        if outcome.is_error():
            return problem_response(outcome.error)
        return json_response(outcome.ok)
