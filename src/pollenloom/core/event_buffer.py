"""Finds the complete events of a stream whose bytes arrive in parts."""

from typing import Final

EVENT_END: Final = b'\n\n'
EVENT_END_CRLF: Final = b'\n\r\n'
# Bytes at the end of one part that may belong to the end of an event in the
# next one.
OVERLAP_BYTES: Final = len(EVENT_END_CRLF) - 1


class EventBuffer:
    """Holds the start of an event until its end has arrived.

    A sender may cut a long event into any number of parts. One object holds
    them, and only the new bytes are searched, so that the cost grows with the
    bytes and not with their product with the number of parts.

    Attributes:
        partial: Start of an event whose end has not arrived.
    """

    def __init__(self) -> None:
        self.partial = bytearray()

    def feed(self, part: bytes) -> bytes:
        """Add bytes of the stream; return the events that are complete."""
        # Servers flush after each event, so parts usually end with one.
        if not self.partial and part.endswith(EVENT_END):
            return part
        searched_bytes = len(self.partial)
        self.partial += part
        end = find_last_end(
            self.partial, max(0, searched_bytes - OVERLAP_BYTES)
        )
        events = bytes(self.partial[:end])
        del self.partial[:end]
        return events


def find_last_end(content: bytearray, start: int) -> int:
    """Return the offset behind the last end of an event; 0 if there is none.

    Args:
        content: Bytes of the stream.
        start: Offset from which they are searched.
    """
    return max(
        end_of_last(content, EVENT_END, start),
        end_of_last(content, EVENT_END_CRLF, start),
    )


def end_of_last(content: bytearray, separator: bytes, start: int) -> int:
    """Return the offset behind the last separator; 0 if there is none."""
    found = content.rfind(separator, start)
    return 0 if found < 0 else found + len(separator)
