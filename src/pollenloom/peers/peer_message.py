"""Base class of the messages between routers."""

import msgspec


class PeerMessage(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=True,
):
    """Message between routers, encoded as a CBOR array of tag and fields.

    The tag is the class name unless a subclass sets it. Each subsystem
    defines its messages in its own package as subclasses and passes them to
    `PeerNetwork.subscribe`, which adds them to the codec.
    """
