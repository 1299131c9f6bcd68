"""The caller closed its connection."""


class CallerLeftError(Exception):
    """Ends the relay of a stream that nobody reads any more."""
