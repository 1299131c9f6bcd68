"""Base class of the messages between routers."""

import msgspec


class PeerMessage(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=True,
):
    """A typed message; encoded as a CBOR array that starts with its tag.

    Each subsystem declares its messages in its own package as subclasses
    and passes them to `PeerNetwork.subscribe`, which adds them to the codec.
    """
