"""Response that a connection to a backend server expects."""

from dataclasses import dataclass
from typing import Final

# Bytes before the body of a response: its head, interim responses, and whole
# responses to other requests. Heads of servers have a few hundred bytes.
MAX_OVERHEAD_BYTES: Final = 65_536


@dataclass(slots=True)
class ExpectedResponse:
    """The expected response, and how much was received before its body.

    Attributes:
        request_id: Id of the request; None before the first one.
        is_head_request: Whether the response has no body.
        is_in_body: Whether the body of the response is being received.
        overhead_bytes: Bytes received before the body.
    """

    request_id: bytes | None = None
    is_head_request: bool = False
    is_in_body: bool = False
    overhead_bytes: int = 0

    def count_received(self, size: int) -> None:
        """Count received bytes."""
        if not self.is_in_body:
            self.overhead_bytes += size

    @property
    def is_head_too_long(self) -> bool:
        """Whether no body began within the allowed number of bytes."""
        return not self.is_in_body and self.overhead_bytes > MAX_OVERHEAD_BYTES
