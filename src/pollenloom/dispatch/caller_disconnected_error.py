"""Error for a caller that closed its connection."""


class CallerDisconnectedError(Exception):
    """Ends the relay of a stream after its caller disconnected."""
