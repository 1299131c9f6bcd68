"""Which counts a router has to send to the holder of the duty."""

from typing import TYPE_CHECKING

from pollenloom.catalogue.duty_messages import (
    WindowCount,
    WindowCountsMessage,
    WindowReceiptMessage,
)
from pollenloom.core.ids import FencingNumber, VmId, WindowNumber
from pollenloom.usage.begun_counts import window_at

if TYPE_CHECKING:
    from pollenloom.usage.begun_counts import BegunCounts


class CountSender:
    """Chooses the windows to send until the holder needs them no more.

    Attributes:
        vm: This router.
        process: Random id of this process, whose counts start at zero.
        counts: Counts of this router.
        received: Windows whose final counts the holder has received.
        received_by: Fencing number of that holder.
        settled: Last window that needs no counts any more.
    """

    def __init__(self, vm: VmId, process: str, counts: 'BegunCounts') -> None:
        self.vm = vm
        self.process = process
        self.counts = counts
        self.received: set[WindowNumber] = set()
        self.received_by = FencingNumber(0)
        self.settled = WindowNumber(0)

    def make_message(
        self, wall: float, number: FencingNumber
    ) -> WindowCountsMessage:
        """Return the counts to send.

        Args:
            wall: Wall time in seconds.
            number: Fencing number of the holder; a later one needs all counts
                that are not settled at once, since it closes windows by what
                it receives.
        """
        self.note_holder(number)
        current = window_at(wall, self.counts.window_seconds)
        earliest = max(
            self.counts.first,
            self.settled + 1,
            current - self.counts.kept_windows + 1,
        )
        windows = [
            WindowCount(
                WindowNumber(number),
                dict(self.counts.began(WindowNumber(number))),
                is_final=number < current,
            )
            for number in range(earliest, current + 1)
            if number not in self.received
        ]
        return WindowCountsMessage(self.vm, self.process, windows)

    def receive(self, receipt: WindowReceiptMessage) -> None:
        """Record what the holder has received."""
        self.note_holder(receipt.number)
        if receipt.number < self.received_by:
            return
        self.settled = receipt.settled
        self.received.update(receipt.windows)
        self.received = {
            window for window in self.received if window > self.settled
        }

    def note_holder(self, number: FencingNumber) -> None:
        """Forget what earlier holders have received."""
        if number > self.received_by:
            self.received_by = number
            self.received.clear()
