"""Changes that the store has acknowledged."""

import msgspec


class Announcement(msgspec.Struct, kw_only=True):
    """A change that the store has acknowledged.

    Attributes:
        subject: Id of the server that leaves, or API key that was revoked.
        at: Wall time at which the store had acknowledged it, in seconds.
    """

    subject: str
    at: float
