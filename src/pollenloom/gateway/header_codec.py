"""Interface for the HTTP headers of callers and backend servers."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from pollenloom.core.ids import AccountId, ServerId
from pollenloom.gateway.headers import Header
from pollenloom.gateway.raw_request import RawRequest
from pollenloom.gateway.server_event import ResponseHead
from pollenloom.routing.request_metadata import RequestMetadata
from pollenloom.routing.server_notice import ServerNotice


class HeaderCodec(ABC):
    """Reads and writes protocol headers; makes no routing decisions.

    Attributes:
        id_header: Lower-case name of the header that carries the request id.
    """

    id_header: bytes

    @abstractmethod
    def read_metadata(self, request: RawRequest) -> RequestMetadata:
        """Decode the headers that routing needs."""

    @abstractmethod
    def server_headers(
        self,
        request: RawRequest,
        server: ServerId,
        account: AccountId | None,
        timeout_seconds: float,
        last_event_id: str,
    ) -> list[Header]:
        """Return the headers of the request to a backend server.

        Args:
            request: Request as received from the caller.
            server: Backend server that the request is sent to.
            account: Client account; None on public routes or if no API keys
                are configured.
            timeout_seconds: Time left for the response.
            last_event_id: Id of the last event that the caller received; empty
                if there is none.
        """

    @abstractmethod
    def is_sealed(self, head: ResponseHead) -> bool:
        """Whether the response carries the seal of a backend server."""

    @abstractmethod
    def is_not_run(self, head: ResponseHead) -> bool:
        """Whether the response states that the request was not run."""

    @abstractmethod
    def is_misdirected(self, head: ResponseHead) -> bool:
        """Whether the address now belongs to another backend server."""

    @abstractmethod
    def cold_seconds(self, head: ResponseHead) -> float:
        """Return how many seconds the server stays cold; 0 if not stated."""

    @abstractmethod
    def server_notice(self, head: ResponseHead) -> ServerNotice:
        """Return what the server states of itself."""

    @abstractmethod
    def rejection_headers(self, retry_after: float | None) -> Iterable[Header]:
        """Return the headers of a rejection by the router.

        `retry_after` is in seconds; None leaves the header out.
        """
