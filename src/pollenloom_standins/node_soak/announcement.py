"""Changes that the store has acknowledged."""

import msgspec


class Announcement(msgspec.Struct, kw_only=True):
    """A change that the store has acknowledged.

    Attributes:
        subject: Server that leaves or has gone, or key that was revoked.
    """

    subject: str
    at: float
