"""Typed failure carried by `expression.Result`."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pollenloom.core.error_responses import ERROR_RESPONSES

if TYPE_CHECKING:
    from pollenloom.core.error_kind import ErrorKind
    from pollenloom.core.error_response import ErrorResponse


@dataclass(frozen=True, slots=True)
class Failure:
    """One failure, classified by its error kind.

    Attributes:
        kind: Error kind, which determines the HTTP response.
        detail: Description for people; contains no secrets.
        retry_after_seconds: Time after which a retry may succeed; None if
            unknown.
    """

    kind: 'ErrorKind'
    detail: str
    retry_after_seconds: float | None = None

    @property
    def response(self) -> 'ErrorResponse':
        """HTTP response of the error kind."""
        return ERROR_RESPONSES[self.kind]
