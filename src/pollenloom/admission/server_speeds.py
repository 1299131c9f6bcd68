"""Speeds at which backend servers read prompts."""

from abc import ABC, abstractmethod
from collections.abc import Collection, Container

from pollenloom.admission.response_times import ResponseTimes
from pollenloom.core.ids import ServerId
from pollenloom.routing.load_before import LoadBefore
from pollenloom.routing.send_window import PREFILL_TOKENS_PER_SECOND
from pollenloom.routing.service_load import ServiceLoad


class ServerSpeeds(ABC):
    """How long servers take, relative to the usual reading speed."""

    @abstractmethod
    def slowness(self, server: ServerId) -> float:
        """How many times the usual seconds a server takes."""

    @abstractmethod
    def is_slow(self, server: ServerId) -> bool:
        """Whether a server is slower than others at all times."""

    @abstractmethod
    def slow_servers(self) -> Collection[ServerId]:
        """Return all servers for which `is_slow` holds."""

    @abstractmethod
    def waiting_requests(self, in_flight: int, load: LoadBefore) -> float:
        """Requests that count as ahead of a new one at an application server.

        Args:
            in_flight: Requests of this router at the server.
            load: Load of the server.
        """

    @abstractmethod
    def observe(
        self, server: ServerId, usual: float, seconds: float, now: float
    ) -> None:
        """Learn from a response that began.

        Args:
            server: Server of the response.
            usual: Seconds to the first byte at the usual speed.
            seconds: Seconds that it took.
            now: Monotonic seconds.
        """

    @abstractmethod
    def learn(self, remote_load: ServiceLoad, now: float) -> None:
        """Use what other routers reported."""

    @abstractmethod
    def retain(self, servers: Container[ServerId]) -> None:
        """Forget servers that were removed."""

    @abstractmethod
    def recent_times(self, now: float) -> ResponseTimes:
        """Return the times of this router's recent responses."""

    def prefill_seconds(self, server: ServerId, tokens: float) -> float:
        """Seconds that a server takes to read tokens."""
        return tokens * self.slowness(server) / PREFILL_TOKENS_PER_SECOND


class FixedSpeeds(ServerSpeeds):
    """The usual speed for every server; nothing is learned."""

    def slowness(self, server: ServerId) -> float:
        """Return 1."""
        return 1

    def is_slow(self, server: ServerId) -> bool:
        """Return False: all servers are alike."""
        return False

    def slow_servers(self) -> Collection[ServerId]:
        """Return none."""
        return ()

    def waiting_requests(self, in_flight: int, load: LoadBefore) -> float:
        """Return the requests of this router."""
        return in_flight

    def observe(
        self, server: ServerId, usual: float, seconds: float, now: float
    ) -> None:
        """Learn nothing."""

    def learn(self, remote_load: ServiceLoad, now: float) -> None:
        """Learn nothing."""

    def retain(self, servers: Container[ServerId]) -> None:
        """Forget nothing."""

    def recent_times(self, now: float) -> ResponseTimes:
        """Return no times."""
        return ResponseTimes()
