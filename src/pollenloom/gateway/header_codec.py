"""Interface of the header names that callers and servers use."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from pollenloom.core.ids import AccountId, ServerId
from pollenloom.gateway.headers import Header
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.server_event import ResponseHead
from pollenloom.routing.request_metadata import RequestMetadata


class HeaderCodec(ABC):
    """Reads and writes headers; decides nothing.

    Attributes:
        id_header: Name of the header with a request's id, in lower case.
    """

    id_header: bytes

    @abstractmethod
    def read_metadata(self, request: RawRequest) -> RequestMetadata:
        """Decode what routing needs of a request."""

    @abstractmethod
    def server_headers(
        self,
        request: RawRequest,
        server: ServerId,
        account: AccountId | None,
        seconds: float,
        last_event: str,
    ) -> list[Header]:
        """Return the headers for a server that has `seconds` to answer."""

    @abstractmethod
    def is_sealed(self, head: ResponseHead) -> bool:
        """Whether an answer is proved to be a server's own."""

    @abstractmethod
    def is_not_run(self, head: ResponseHead) -> bool:
        """Whether an answer states that the request was not run."""

    @abstractmethod
    def is_misdirected(self, head: ResponseHead) -> bool:
        """Whether another server has the address."""

    @abstractmethod
    def cold_seconds(self, head: ResponseHead) -> float:
        """How long the server stays cold; 0 if it does not say."""

    @abstractmethod
    def refusal_headers(self, retry_after: float | None) -> Iterable[Header]:
        """Return the headers of an own refusal."""
