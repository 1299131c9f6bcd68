"""Typed failure carried by `expression.Result`."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pollenloom.core.error_responses import ERROR_RESPONSES

if TYPE_CHECKING:
    from pollenloom.core.error_kind import ErrorKind
    from pollenloom.core.error_response import ErrorResponse


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
    def answer(self) -> 'ErrorResponse':
        """Row of the table from kind to answer."""
        return ERROR_RESPONSES[self.kind]
