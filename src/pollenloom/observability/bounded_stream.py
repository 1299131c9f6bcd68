"""Output stream for logs that never blocks."""

import os
from collections import deque
from typing import Final

# Lines that wait while the reader of the output is slow.
MOST_WAITING: Final = 2000


class BoundedStream:
    """Writes lines to a descriptor; drops and counts what finds no room.

    Attributes:
        dropped: Lines that were lost since the last notice.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.waiting: deque[bytes] = deque()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write a line, or keep it until the next call."""
        if len(self.waiting) >= MOST_WAITING:
            self.dropped += 1
        else:
            self.waiting.append(text.encode(errors='replace'))
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what waits, as far as there is room."""
        while self.waiting:
            try:
                written = os.write(self.descriptor, self.waiting[0])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any more.
                self.dropped += len(self.waiting)
                self.waiting.clear()
                return
            rest = self.waiting.popleft()[written:]
            if rest:
                self.waiting.appendleft(rest)
                return
            self.tell_dropped()

    def tell_dropped(self) -> None:
        """Tell of lost lines once there is room again."""
        if self.dropped and not self.waiting:
            line = f'{{"event":"log_lines_dropped","lines":{self.dropped}}}\n'
            self.dropped = 0
            self.waiting.append(line.encode())
