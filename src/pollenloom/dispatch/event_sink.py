"""Receiver of a relayed event stream."""

from abc import ABC, abstractmethod


class EventSink(ABC):
    """Where the dispatcher writes the complete events of a stream."""

    @abstractmethod
    async def write(self, events: bytes) -> None:
        """Pass on one or more complete events; waits for a slow reader.

        Raises:
            ConnectionError: If the caller has left.
        """
