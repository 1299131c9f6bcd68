"""HTTP listener of a stand-in."""

from typing import TYPE_CHECKING, ClassVar, Final

from aiohttp import web

from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom_standins.serving.listen_address import ListenAddress
from pollenloom_standins.serving.route_source import RouteSource

if TYPE_CHECKING:
    from pollenloom.kernel.kernel import Kernel

REQUEST_ID: Final = 'X-Request-Id'
# Above the router's limit of 1 MiB, so that the router's check applies first.
MAXIMUM_BODY_BYTES: Final = 2_097_152
# Enough for one header with the prefix hashes of a body of 1 MiB.
MAXIMUM_HEADER_BYTES: Final = 65_536
# Requests still open after this time are aborted when the process stops.
SHUTDOWN_SECONDS: Final = 0.5


class HttpListener(KernelService):
    """Serves the routes of all services of the kernel.

    Attributes:
        listen: Address to listen on.
        address: Address with the actual port; empty before the start.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.STANDIN_HTTP

    def __init__(self, kernel: 'Kernel', listen: ListenAddress) -> None:
        self.kernel = kernel
        self.listen = listen
        self.address = ''
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen and set `address`."""
        application = web.Application(client_max_size=MAXIMUM_BODY_BYTES)
        application.on_response_prepare.append(echo_request_id)
        for service in self.kernel.services.values():
            if isinstance(service, RouteSource):
                application.add_routes(service.routes())
        self.runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            max_field_size=MAXIMUM_HEADER_BYTES,
            shutdown_timeout=SHUTDOWN_SECONDS,
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.listen.host, self.listen.port)
        await site.start()
        host, port = self.runner.addresses[0][:2]
        self.address = str(ListenAddress(host, port))

    async def stop(self) -> None:
        """Close the listener and the connections."""
        if self.runner is not None:
            await self.runner.cleanup()


async def echo_request_id(  # ruff: ignore[unused-async] (aiohttp awaits signals)
    request: web.Request,
    response: web.StreamResponse,
) -> None:
    """Echo the request id unless the handler has set the header."""
    request_id = request.headers.get(REQUEST_ID)
    if request_id is not None:
        response.headers.setdefault(REQUEST_ID, request_id)
