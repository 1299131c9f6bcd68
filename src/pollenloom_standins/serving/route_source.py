"""Base class of services with HTTP routes."""

from abc import abstractmethod

from aiohttp import web

from pollenloom.kernel.kernel_service import KernelService


class RouteSource(KernelService):
    """A service whose routes `HttpListener` serves."""

    @abstractmethod
    def routes(self) -> list[web.RouteDef]:
        """Return the routes, more specific ones first."""

    async def start(self) -> None:
        """Does nothing by default."""

    async def stop(self) -> None:
        """Does nothing by default."""
