"""Base class of the checks of a history."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import ClassVar, Generic, TypeVar

HistoryT = TypeVar('HistoryT')


class PromiseChecker(ABC, Generic[HistoryT]):
    """Checks one promise; a pure function of the history.

    Attributes:
        requirement: Ids of the requirements in the design.
        promise: What must hold, in one line.
    """

    requirement: ClassVar[str]
    promise: ClassVar[str]

    @abstractmethod
    def violations(self, history: HistoryT) -> Iterator[str]:
        """Return how the history breaks the promise, one line each."""

    @abstractmethod
    def checked(self, history: HistoryT) -> int:
        """Return how many observations the promise was checked on."""


Checkers = tuple[PromiseChecker[HistoryT], ...]
