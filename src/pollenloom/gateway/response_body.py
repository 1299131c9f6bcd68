"""Body of a response that is relayed once it is complete."""

from typing import Final

from pollenloom.gateway.embedded_response import EmbeddedResponseSearch
from pollenloom.gateway.header_codec import HeaderCodec
from pollenloom.gateway.server_event import ChannelEnd

# A response that is not a stream is held in memory until it is complete.
MAX_BODY_BYTES: Final = 8_388_608


class ResponseBody:
    """Collects the parts of a body and checks it.

    The parts share one object: an object takes about 50 bytes besides its
    content, and a server may send parts of one byte.

    Attributes:
        content: Body received so far.
        search: Looks for bytes of another response.
    """

    def __init__(self, header_codec: HeaderCodec) -> None:
        self.content = bytearray()
        self.search = EmbeddedResponseSearch(header_codec)

    def add(self, part: bytes) -> None:
        """Add the next part."""
        self.content += part
        self.search.feed(part)

    @property
    def is_too_long(self) -> bool:
        """Whether the body is longer than any may be."""
        return len(self.content) > MAX_BODY_BYTES

    def check_end(
        self, end: ChannelEnd, *, has_bytes_behind: bool
    ) -> ChannelEnd:
        """Return how a response ended, which may contain bytes of another.

        A server that breaks off and writes another response next fills up the
        length of the first with the start of the second, whose rest follows. A
        body that only ends like a head is left alone.

        Args:
            end: How the connection ended the response.
            has_bytes_behind: Whether bytes that belong to no request followed.
        """
        is_mixed = self.search.has_found or (
            has_bytes_behind and self.search.ends_in_head
        )
        if end is ChannelEnd.COMPLETE and is_mixed:
            return ChannelEnd.MIXED
        return end

    def drop(self) -> None:
        """Drop the body; one that is being written is kept by its writer."""
        self.content = bytearray()
