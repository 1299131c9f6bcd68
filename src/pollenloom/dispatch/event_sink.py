"""Interface of the receivers of relayed event streams."""

from abc import ABC, abstractmethod


class EventSink(ABC):
    """Receives the complete events of a stream."""

    @abstractmethod
    async def write(self, events: bytes) -> None:
        """Write one or more complete events; waits for a slow reader.

        Raises:
            ConnectionError: If the caller has disconnected.
        """
