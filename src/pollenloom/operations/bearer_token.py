"""The operators' bearer token."""

import hmac
from pathlib import Path
from typing import Final

SCHEME: Final = 'Bearer '
SHORTEST_TOKEN: Final = 8


class BearerToken:
    """Compares tokens in a time that does not depend on their content."""

    def __init__(self, token: bytes) -> None:
        self.token = token

    @classmethod
    def from_file(cls, path: Path) -> 'BearerToken':
        """Read the token; blanks around it do not count.

        Raises:
            OSError: If the file cannot be read.
            ValueError: If the token is too short to protect anything.
        """
        token = path.read_bytes().strip()
        if len(token) < SHORTEST_TOKEN:
            raise ValueError(
                f'{path} must hold at least {SHORTEST_TOKEN} characters',
            )
        return cls(token)

    def matches(self, authorization: str | None) -> bool:
        """Whether an `Authorization` header carries the token."""
        if authorization is None or not authorization.startswith(SCHEME):
            return False
        given = authorization.removeprefix(SCHEME).strip().encode()
        return hmac.compare_digest(given, self.token)
