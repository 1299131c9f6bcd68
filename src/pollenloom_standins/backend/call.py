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
    """A request with what was decided about it.

    Attributes:
        request: The HTTP request.
        body: Its body.
        record: Record of the run.
        plan: Faults to inject.
        bad_kind: How the version goes wrong for it.
        crossed_id: Id of another request, whose answer is sent instead.
    """

    request: 'web.Request'
    body: bytes
    record: 'RunRecord'
    plan: 'FaultPlan'
    bad_kind: BadKind = BadKind.NONE
    crossed_id: str = ''

    @property
    def request_id(self) -> str:
        """Value of `X-Request-Id`."""
        return self.record.request_id

    @property
    def answer_headers(self) -> dict[str, str]:
        """Headers of the answer; the request id is echoed without them."""
        return {REQUEST_ID: self.crossed_id} if self.crossed_id else {}
