"""Base class of the checks of a history."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import ClassVar, Generic, TypeVar

HistoryT = TypeVar('HistoryT')


class PromiseChecker(ABC, Generic[HistoryT]):
    """Checks one promise of the system on the records of a round.

    Attributes:
        requirement: Id of the requirement in the design.
        promise: Property that must hold, in one line.
    """

    requirement: ClassVar[str]
    promise: ClassVar[str]

    @abstractmethod
    def violations(self, history: HistoryT) -> Iterator[str]:
        """Return how the history breaks the promise, one line each."""

    @abstractmethod
    def checked(self, history: HistoryT) -> int:
        """Return the number of observations that the check is based on."""


Checkers = tuple[PromiseChecker[HistoryT], ...]
