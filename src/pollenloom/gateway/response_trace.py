"""What is recorded of a response that was relayed to a caller."""

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Self

from pollenloom.gateway.headers import TRANSFER_ENCODING, find_header
from pollenloom.gateway.response_end import EndEvidence, EndVerdict
from pollenloom.gateway.server_event import ResponseHead


@unique
class Framing(StrEnum):
    """How a response marks its end.

    CLOSE stands for the end of the connection, which also ends a response
    whose server has failed.
    """

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'

    @classmethod
    def from_head(cls, head: ResponseHead) -> Self:
        """Return the framing of a response; LENGTH if it has no body."""
        if not head.is_framed:
            return cls(cls.CLOSE)
        if find_header(head.headers, TRANSFER_ENCODING) is not None:
            return cls(cls.CHUNKED)
        return cls(cls.LENGTH)


@dataclass(slots=True)
class ResponseTrace:
    """How the latest response to a request arrived.

    Attributes:
        framing: How it marks its end.
        is_kept_connection: Whether the connection carried another request
            before.
        body_bytes: Bytes of the body that were received.
        end_evidence: What was found about a response that does not mark its
            end once it had ended; None before, and for others.
        end_verdict: What was concluded from that.
    """

    framing: Framing
    is_kept_connection: bool
    body_bytes: int = 0
    end_evidence: EndEvidence | None = None
    end_verdict: EndVerdict | None = None
