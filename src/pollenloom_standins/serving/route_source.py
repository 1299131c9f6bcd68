"""A service that answers HTTP calls."""

from abc import abstractmethod

from aiohttp import web

from pollenloom.kernel.kernel_service import KernelService


class RouteSource(KernelService):
    """A service whose routes the listener of the process serves."""

    @abstractmethod
    def routes(self) -> list[web.RouteDef]:
        """Return the routes; more specific ones come first."""

    async def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""
