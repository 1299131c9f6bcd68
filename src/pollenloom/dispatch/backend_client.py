"""Interface of the clients of backend servers."""

from abc import ABC, abstractmethod

from expression import Result

from pollenloom.dispatch.attempt_failure import AttemptFailure
from pollenloom.dispatch.backend_call import BackendCall
from pollenloom.dispatch.backend_response import BackendResponse
from pollenloom.dispatch.event_relay import EventRelay
from pollenloom.dispatch.grant_use import GrantUse


class BackendClient(ABC):
    """Sends one request to one backend server, once."""

    @abstractmethod
    async def fetch(
        self,
        call: BackendCall,
        use: GrantUse,
    ) -> Result[BackendResponse, AttemptFailure]:
        """Send a request and read the complete response.

        Cancelling the call closes the connection to the server.
        """

    @abstractmethod
    async def relay(
        self,
        call: BackendCall,
        use: GrantUse,
        relay: EventRelay,
    ) -> Result[BackendResponse, AttemptFailure]:
        """Send a request and relay the events of the response.

        A response that is not an event stream is returned with its body.

        Raises:
            CallerDisconnectedError: If the caller no longer reads the events.
        """

    @abstractmethod
    async def cancel(self, call: BackendCall) -> None:
        """Ask the server to cancel a request; failures are ignored."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
