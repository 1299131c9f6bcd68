"""The caller closed its connection."""


class CallerDisconnectedError(Exception):
    """Ends the relay of a stream that nobody reads any more."""
