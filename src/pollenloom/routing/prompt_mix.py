"""How much of the engines' time short and long prompts take."""

import math
from collections.abc import Mapping
from typing import Final

from pollenloom.routing.prompt_size import PromptSize

# Engines change their group with the mix, and lose prefixes by it, so the mix
# of many seconds counts.
MEMORY_SECONDS: Final = 20.0


class PromptMix:
    """Engine time by size of prompt, decaying, in tokens read."""

    def __init__(self) -> None:
        self.own: dict[PromptSize, float] = dict.fromkeys(PromptSize, 0)
        self.counted_at = float('-inf')

    def charge(self, size: PromptSize, cost: float, now: float) -> None:
        """Count a request that is sent."""
        self.decay(now)
        self.own[size] += cost

    def decay(self, now: float) -> None:
        """Let older cost lose weight."""
        kept = math.exp(-max(0, now - self.counted_at) / MEMORY_SECONDS)
        self.counted_at = now
        for size in PromptSize:
            self.own[size] *= kept

    def told(self, now: float) -> dict[PromptSize, float]:
        """Return what other routers are told."""
        self.decay(now)
        return {size: round(cost) for size, cost in self.own.items() if cost}

    def short_share(self, elsewhere: Mapping[PromptSize, float]) -> float:
        """Part of the engines' time that short prompts take in the fleet."""
        totals = {
            size: cost + elsewhere.get(size, 0)
            for size, cost in self.own.items()
        }
        total = sum(totals.values())
        return totals[PromptSize.SHORT] / total if total else 0
