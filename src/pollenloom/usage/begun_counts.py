"""Requests that began at one router, by window and client account."""

from collections import Counter
from dataclasses import dataclass, field
from math import floor
from typing import TYPE_CHECKING

from pollenloom.core.ids import AccountId, RequestId, WindowNumber

if TYPE_CHECKING:
    from collections.abc import Mapping


def window_at(wall: float, window_seconds: float) -> WindowNumber:
    """Return the window that contains a wall time in seconds."""
    return WindowNumber(floor(wall / window_seconds))


@dataclass(slots=True)
class BegunWindow:
    """Requests that began in one window.

    Attributes:
        began: Requests by client account.
        requests: Ids of these requests.
    """

    began: Counter[AccountId] = field(default_factory=Counter)
    requests: set[RequestId] = field(default_factory=set)


class BegunCounts:
    """Counts each request once, in the window in which it first began.

    Attributes:
        window_seconds: Length of a window.
        kept_windows: Number of windows that are kept.
        windows: Kept windows by number.
        first: Window in which the counting started.
    """

    def __init__(
        self, window_seconds: float, kept_windows: int, wall: float
    ) -> None:
        self.window_seconds = window_seconds
        self.kept_windows = kept_windows
        self.windows: dict[WindowNumber, BegunWindow] = {}
        self.first = window_at(wall, window_seconds)

    def add(
        self, account: AccountId, request_id: RequestId, wall: float
    ) -> None:
        """Count a request that begins at a wall time, unless it is known."""
        for known in self.windows.values():
            if request_id in known.requests:
                return
        number = window_at(wall, self.window_seconds)
        window = self.windows.get(number)
        if window is None:
            window = BegunWindow()
            self.windows[number] = window
            self.drop_old(number)
        window.began[account] += 1
        window.requests.add(request_id)

    def began(self, number: WindowNumber) -> 'Mapping[AccountId, int]':
        """Return the requests of a window by client account."""
        window = self.windows.get(number)
        return dict(window.began) if window else {}

    def drop_old(self, current: WindowNumber) -> None:
        """Drop windows that are far from the current one.

        The time of day may jump, so they may be later ones as well.
        """
        self.windows = {
            number: window
            for number, window in self.windows.items()
            if abs(current - number) < self.kept_windows
        }
