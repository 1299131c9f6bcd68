"""Response that a connection to a backend server expects."""

from dataclasses import dataclass
from typing import Final

# Bytes without a part of the body: a head, interim responses, whole responses
# to other requests, sizes and extensions of chunks, and trailers. Heads of
# servers have a few hundred bytes.
MAX_OVERHEAD_BYTES: Final = 65_536


@dataclass(slots=True)
class ExpectedResponse:
    """The expected response, and how much was received besides its body.

    Attributes:
        request_id: Id of the request; None before the first one.
        is_head_request: Whether the response has no body.
        overhead_bytes: Bytes received since the last part of the body, or
            since the request.
        has_begun: Whether any byte was received since the request.
        has_bytes_behind: Whether bytes followed the response that belong to no
            request.
        rejected_status: Status of a head that is not that of a response; None
            if there was none.
    """

    request_id: bytes | None = None
    is_head_request: bool = False
    overhead_bytes: int = 0
    has_begun: bool = False
    has_bytes_behind: bool = False
    rejected_status: int | None = None

    def count_received(self, size: int) -> None:
        """Count received bytes."""
        self.overhead_bytes += size
        self.has_begun = True

    def body_received(self) -> None:
        """Start to count again, since the body goes on."""
        self.overhead_bytes = 0

    @property
    def description(self) -> str:
        """What was received instead of a response, for log lines."""
        if self.rejected_status is None:
            return 'no response'
        return f'status {self.rejected_status:03} is no response'

    @property
    def is_overhead_too_long(self) -> bool:
        """Whether no part of the body was within the allowed bytes."""
        return self.overhead_bytes > MAX_OVERHEAD_BYTES
