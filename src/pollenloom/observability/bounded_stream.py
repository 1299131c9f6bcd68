"""Non-blocking output stream for logs."""

import os
from collections import deque
from typing import Final

# Lines that are buffered while the reader of the output is slow.
MAX_PENDING_LINES: Final = 2000


class BoundedStream:
    """Writes lines to a file descriptor; drops and counts what does not fit.

    Attributes:
        pending: Lines that are not written yet, the first one possibly in
            part.
        dropped: Lines lost since they were last reported.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write a line, or buffer it until the next call."""
        if len(self.pending) >= MAX_PENDING_LINES:
            self.dropped += 1
        else:
            self.pending.append(text.encode(errors='replace'))
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write pending lines until the descriptor would block."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending[0])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the output.
                self.dropped += len(self.pending)
                self.pending.clear()
                return
            rest = self.pending.popleft()[written:]
            if rest:
                self.pending.appendleft(rest)
                return
            self.report_dropped()

    def close(self) -> None:
        """Write what can be written; the descriptor stays open.

        The logging library closes its streams at the end of the process.
        """
        self.flush()

    def report_dropped(self) -> None:
        """Append a line with the number of lost lines once none is pending."""
        if self.dropped and not self.pending:
            line = f'{{"event":"log_lines_dropped","lines":{self.dropped}}}\n'
            self.dropped = 0
            self.pending.append(line.encode())
