"""Open connections of callers, and which of them is closed for a new one."""

from pollenloom.gateway.caller_channel import CallerChannel


class CallerConnections:
    """Bounds the open connections.

    Attributes:
        max_open: Most connections that may be open.
        open: All connections.
        idle: Connections without a request in progress, with or without a part
            of the next one, the longest waiting first.
    """

    def __init__(self, max_open: int) -> None:
        self.max_open = max_open
        self.open: set[CallerChannel] = set()
        self.idle: dict[CallerChannel, None] = {}

    @property
    def is_full(self) -> bool:
        """Whether a connection must be closed before another is opened."""
        return len(self.open) >= self.max_open

    def take_longest_idle(self) -> CallerChannel | None:
        """Return the connection to close for a new one; None without any.

        A connection whose request runs is never closed for another one.
        """
        longest = next(iter(self.idle), None)
        if longest is not None:
            del self.idle[longest]
        return longest

    def wait(self, channel: CallerChannel) -> None:
        """Record that a connection waits for its caller from now on."""
        self.idle[channel] = None

    def serve(self, channel: CallerChannel) -> None:
        """Record that a connection no longer waits for its caller."""
        self.idle.pop(channel, None)

    def discard(self, channel: CallerChannel) -> None:
        """Record that a connection is closed."""
        self.open.discard(channel)
        self.idle.pop(channel, None)
