"""A call as received, before validation."""

from collections.abc import Mapping
from dataclasses import dataclass

from pollenloom.core.ids import RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class RawCall:
    """HTTP request of a caller, without types of the server library.

    Attributes:
        request_id: Id that the router assigned.
        method: HTTP method.
        target: Path and query as sent.
        headers: Headers with lower-case names; repeated ones are joined by
            commas.
        body: Body bytes.
        arrived_at: Monotonic time of its arrival, in seconds.
    """

    request_id: RequestId
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    arrived_at: float

    @property
    def path(self) -> str:
        """Path as sent, without the query."""
        return self.target.partition('?')[0]

    @property
    def is_model_call(self) -> bool:
        """Whether the client expects errors in the published model format."""
        return self.target.startswith('/v1/')

    def header(self, name: str) -> str:
        """Return the value of a header; empty if it is missing."""
        return self.headers.get(name, '')
