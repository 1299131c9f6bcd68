"""One request to one backend server."""

from dataclasses import dataclass

from pollenloom.core.backend_server import BackendServer
from pollenloom.core.caller_request import CallerRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendCall:
    """What a backend client needs to send a request.

    Attributes:
        request: The caller's request.
        server: Backend server named by the grant.
        fencing_number: Epoch of the pool owner that gave the grant.
        timeout_seconds: Seconds left until the deadline of the request.
        resume_from: Number of complete events that the caller already received.
    """

    request: CallerRequest
    server: BackendServer
    fencing_number: int
    timeout_seconds: float
    resume_from: int = 0
