"""The line that a stand-in prints when it is ready."""

import msgspec


class ReadyLine(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Addresses on which a stand-in listens.

    Attributes:
        ready: `host:port` of the service.
        control: `host:port` of control calls; empty if it is the same.
    """

    ready: str
    control: str = ''
