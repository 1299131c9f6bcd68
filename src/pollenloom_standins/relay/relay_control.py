"""Control calls of the relay."""

from typing import TYPE_CHECKING, ClassVar

from aiohttp import web

from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom_standins.relay.link_rules import LinkRules
from pollenloom_standins.relay.relay_service import RelayService
from pollenloom_standins.serving.json_responses import json_response, read_json
from pollenloom_standins.serving.route_source import RouteSource

if TYPE_CHECKING:
    from pollenloom.kernel.kernel import Kernel


class RelayControl(RouteSource):
    """Returns and replaces the rules of the links."""

    name: ClassVar[KernelServiceName] = KernelServiceName.STANDIN_CONTROL

    def __init__(self, kernel: 'Kernel') -> None:
        self.kernel = kernel

    @property
    def relay(self) -> RelayService:
        """The controlled relay."""
        return self.kernel.find(KernelServiceName.STANDIN_RELAY, RelayService)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the control address."""
        return [
            web.get('/control/links', self.report_links),
            web.put('/control/links', self.replace_links),
        ]

    async def report_links(self, _request: web.Request) -> web.Response:
        """Return the rules in force."""
        return json_response(self.relay.table.rules)

    async def replace_links(self, request: web.Request) -> web.Response:
        """Replace all rules; they are in force before the response is sent."""
        self.relay.table.put(await read_json(request, LinkRules))
        return json_response(self.relay.table.rules)
