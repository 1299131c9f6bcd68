"""Base class of the fleets that a soak runs rounds of."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final, Generic

import msgspec

from pollenloom_standins.history.promise_checker import Checkers, HistoryT

HISTORY_FILE: Final = 'history.json'


@dataclass(frozen=True, slots=True)
class FinishedRound(Generic[HistoryT]):
    """A round that has ended.

    Attributes:
        history: Records of the round.
        schedule_problems: Parts of the schedule that could not be carried out.
    """

    history: HistoryT
    schedule_problems: list[str]


@dataclass(slots=True)
class SoakVerdict:
    """Results of the checks of a round.

    Attributes:
        summary: Faults and counts in one line.
        schedule_problems: Parts of the schedule that could not be carried out.
        checked: Number of observations by promise.
        violations: Violations by promise, one line each; kept promises are
            left out.
    """

    summary: str
    schedule_problems: list[str]
    checked: dict[str, int] = field(default_factory=dict)
    violations: dict[str, list[str]] = field(default_factory=dict)


class SoakFleet(ABC, Generic[HistoryT]):
    """A kind of fleet with its faults and promises.

    Attributes:
        checkers: Promises that a round is checked for.
    """

    checkers: Checkers[HistoryT]

    async def run(self, seed: int, directory: Path) -> SoakVerdict:
        """Run a round with a fresh fleet and check all promises.

        The history is written to the directory if a promise was broken.

        Raises:
            ProcessError: If the fleet did not start.
        """
        finished = await self.run_round(seed, directory)
        history = finished.history
        verdict = SoakVerdict(
            self.summarise(history), finished.schedule_problems
        )
        for checker in self.checkers:
            name = checker.requirement
            verdict.checked[name] = checker.checked(history)
            found = list(checker.violations(history))
            if found:
                verdict.violations[name] = found
        if verdict.violations:
            path = directory / HISTORY_FILE
            path.write_bytes(msgspec.json.encode(history))
        return verdict

    @abstractmethod
    async def run_round(
        self, seed: int, directory: Path
    ) -> FinishedRound[HistoryT]:
        """Run a round with a fresh fleet; logs go to the directory."""

    @abstractmethod
    def summarise(self, history: HistoryT) -> str:
        """Return faults and outcomes in one line."""
