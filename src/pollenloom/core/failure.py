"""Typed failure carried by `expression.Result`."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pollenloom.core.error_answers import ERROR_ANSWERS

if TYPE_CHECKING:
    from pollenloom.core.error_answer import ErrorAnswer
    from pollenloom.core.error_kind import ErrorKind


@dataclass(frozen=True, slots=True)
class Failure:
    """One failure of a closed kind.

    Attributes:
        kind: Member of the closed list.
        detail: What happened, for people; never holds a secret.
        retry_after_seconds: When a retry is worth trying, if known.
    """

    kind: 'ErrorKind'
    detail: str
    retry_after_seconds: float | None = None

    @property
    def answer(self) -> 'ErrorAnswer':
        """Row of the table from kind to answer."""
        return ERROR_ANSWERS[self.kind]
