"""HTTP server for callers."""

import asyncio
from contextlib import suppress
from typing import ClassVar, Final

import msgspec
from absl import logging
from sanic import Request
from sanic.response import HTTPResponse

from pollenloom.configuration.configuration_service import ConfigurationService
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.dispatch.dispatch import Dispatch
from pollenloom.frontend.application_handler import ApplicationHandler
from pollenloom.frontend.call_handler import CallHandler
from pollenloom.frontend.caller_protocol import CallerProtocol
from pollenloom.frontend.drain_barrier import DrainBarrier
from pollenloom.frontend.handler_adapter import HandlerAdapter
from pollenloom.frontend.model_handler import ModelHandler
from pollenloom.frontend.model_list_handler import ModelListHandler
from pollenloom.frontend.problem_details import make_problem
from pollenloom.frontend.request_reader import ModelRoute
from pollenloom.frontend.responses import json_response, new_request_id
from pollenloom.frontend.sanic_app import make_app
from pollenloom.frontend.stop_plan import StopPlan
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.metrics import Metrics
from pollenloom.settings.router_settings import LimitSettings, RouterSettings
from pollenloom.transport.listening import open_listener

METHODS: Final = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')
LISTEN_BACKLOG: Final = 512
STOP_TIMEOUT_SECONDS: Final = 2
# Time before the end of the drain at which running requests are ended. The
# outcome of an order is recorded before its caller gets the response.
ANSWER_SECONDS: Final = 0.5


class CallerServer(KernelService):
    """Listens on the callers' address and maps routes to handlers."""

    name: ClassVar[KernelServiceName] = KernelServiceName.FRONTEND

    def __init__(
        self,
        kernel: Kernel,
        address: str,
        limits: LimitSettings,
    ) -> None:
        self.kernel = kernel
        self.address = address
        self.limits = limits
        self.drain_barrier = DrainBarrier()
        self.metrics = Metrics.shared(kernel)

    @classmethod
    def from_config(
        cls,
        kernel: Kernel,
        settings: RouterSettings,
    ) -> 'CallerServer':
        """Create a server for the callers' address of the settings."""
        return cls(kernel, settings.callers, settings.limits)

    async def start(self) -> None:
        """Find the required services and listen.

        Raises:
            OSError: If the address cannot be listened on.
        """
        self.configuration = self.kernel.find(
            KernelServiceName.CONFIGURATION,
            ConfigurationService,
        )
        self.configuration.watch(self.update_metrics)
        self.update_metrics()
        self.app = make_app(self.limits)
        self.app.ctx.encode_connection_problem = encode_connection_problem
        self.add_routes()
        # Sanic replaces port 0 by its default port, so it gets a socket.
        listener, address = open_listener(self.address, LISTEN_BACKLOG)
        self.address = address
        server = await self.app.create_server(
            sock=listener,
            protocol=CallerProtocol,
            backlog=LISTEN_BACKLOG,
            return_asyncio_server=True,
            asyncio_server_kwargs={'start_serving': False},
        )
        if server is None:
            raise OSError(f'cannot listen on {self.address}')
        await server.startup()  # type: ignore[no-untyped-call]
        await server.start_serving()  # type: ignore[no-untyped-call]
        self.server = server
        self.drain_barrier.ready = True

    def update_metrics(self) -> None:
        """Update the account classes of the metrics."""
        self.metrics.update_accounts(self.configuration.current)

    async def drain(self) -> None:
        """Reject new requests and finish the accepted ones.

        Accepted ones are also sent after the grace period, if their responses
        are expected before the drain ends.
        """
        dispatch = self.kernel.find(KernelServiceName.DISPATCH, Dispatch)
        ends_at = self.kernel.drain_ends_at - ANSWER_SECONDS
        limits = dispatch.stop_limits
        limits.begin(StopPlan(ends_at=ends_at))
        await self.drain_barrier.close(self.limits.drain_grace_seconds)
        if limits.cut_requests:
            logging.error('frontend_requests_cut %d', limits.cut_requests)
            self.kernel.has_cut_work = True

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self.drain_barrier.ready = False
        self.server.close()  # type: ignore[no-untyped-call]
        for connection in tuple(self.server.connections):
            connection.close()
        # Requests of closed connections are cancelled and settle their grants,
        # which needs the services that this one depends on.
        with suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await self.drain_barrier.idle.wait()
        self.app.unregister_app(self.app)

    def add_routes(self) -> None:
        """Map paths to handlers."""
        chat = ModelHandler(self.kernel, self.limits, ModelRoute.CHAT)
        completions = ModelHandler(
            self.kernel,
            self.limits,
            ModelRoute.COMPLETIONS,
        )
        models = ModelListHandler(self.kernel, self.limits)
        applications = ApplicationHandler(
            self.kernel,
            self.limits,
            self.drain_barrier,
        )
        self.add_route('chat', chat, '/v1/chat/completions', 'POST')
        self.add_route('completions', completions, '/v1/completions', 'POST')
        self.add_route('models', models, '/v1/models', 'GET')
        self.add_route(
            'application',
            applications,
            '/<service:str>',
            *METHODS,
        )
        self.add_route(
            'application-path',
            applications,
            '/<service:str>/<path:path>',
            *METHODS,
        )
        self.app.add_route(self.health, '/healthz', methods=['GET'])
        self.app.add_route(self.readiness, '/readyz', methods=['GET'])

    def add_route(
        self,
        route_name: str,
        handler: CallHandler,
        path: str,
        *methods: str,
    ) -> None:
        """Map a path to a handler that rejects calls during a drain."""
        self.app.add_route(
            HandlerAdapter(self.drain_barrier, handler),
            path,
            methods=methods,
            name=route_name,
            stream=True,
            error_format='json',
        )

    async def health(self, _request: Request) -> HTTPResponse:
        """Return status 200 while the process is alive."""
        return json_response({'status': 'ok'}, {})

    async def readiness(self, _request: Request) -> HTTPResponse:
        """Return 200 if new requests should be sent here, otherwise 503."""
        ready = self.drain_barrier.ready and self.configuration.is_complete
        return json_response({'ready': ready}, {}, 200 if ready else 503)


def encode_connection_problem() -> bytes:
    """Return the problem details for a connection above the limit."""
    failure = Failure(ErrorKind.QUEUE_FULL, 'too many open connections')
    problem = make_problem(failure, new_request_id(), for_model=True)
    return msgspec.json.encode(problem)
