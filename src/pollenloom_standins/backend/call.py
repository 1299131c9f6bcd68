"""One request that a backend server runs."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pollenloom_standins.backend.version_behaviour import BadKind
from pollenloom_standins.serving.http_listener import REQUEST_ID

if TYPE_CHECKING:
    from aiohttp import web

    from pollenloom_standins.backend.fault_plan import FaultPlan
    from pollenloom_standins.backend.run_history import RunRecord


@dataclass(slots=True)
class Call:
    """A request with the decisions made on its arrival.

    Attributes:
        request: The HTTP request.
        body: Body of the request.
        record: Record of the run.
        plan: Faults to inject into the response.
        version_fault: Fault of the version that affects this request.
        crossed_id: Id of the other request whose response is sent instead;
            empty if the response is not crossed.
    """

    request: 'web.Request'
    body: bytes
    record: 'RunRecord'
    plan: 'FaultPlan'
    version_fault: BadKind = BadKind.NONE
    crossed_id: str = ''

    @property
    def request_id(self) -> str:
        """Value of `X-Request-Id`."""
        return self.record.request_id

    @property
    def response_headers(self) -> dict[str, str]:
        """Headers of the response.

        Only a crossed response sets the request id itself: the listener adds
        it to all others.
        """
        return {REQUEST_ID: self.crossed_id} if self.crossed_id else {}
