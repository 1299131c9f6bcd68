"""Load of a server before a request is sent to it."""

from dataclasses import dataclass
from typing import Final

from pollenloom.routing.send_window import PREFILL_TOKENS_PER_SECOND

# Classes of equal parts of a server's slots.
LOAD_CLASSES: Final = 4
# Time from sending to the first token of an idle engine, without the prompt.
IDLE_SECONDS: Final = 0.03


@dataclass(frozen=True, slots=True)
class LoadBefore:
    """Load of a server before a request is sent to it.

    Attributes:
        is_model: Whether the server is a model engine, which reads prompts.
        unread: Prompt tokens that wait at the server.
        running: Requests that it runs.
        slots: Requests that it runs at a time.
    """

    is_model: bool
    unread: float
    running: float
    slots: int

    def expected_seconds(self, cost: float) -> float:
        """Return the usual seconds to the first byte under this load.

        Args:
            cost: Tokens of the request that the engine has to read.

        Returns:
            Seconds; 1 for servers that are not model engines, whose times
            depend on the load class only.
        """
        if not self.is_model:
            return 1
        return IDLE_SECONDS + (self.unread + cost) / PREFILL_TOKENS_PER_SECOND

    @property
    def load_class(self) -> int:
        """Class of the load, 0 for an idle server."""
        part = int(self.running * LOAD_CLASSES / self.slots)
        return min(part, LOAD_CLASSES - 1)
