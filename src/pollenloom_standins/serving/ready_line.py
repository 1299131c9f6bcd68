"""The line that a stand-in prints when it listens."""

import msgspec


class ReadyLine(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Addresses on which a stand-in listens.

    Attributes:
        ready: `host:port` of the service.
        control: `host:port` of control calls, if that is another one.
    """

    ready: str
    control: str = ''
