"""Bearer token that authenticates operators."""

import hmac
from pathlib import Path
from typing import Final

SCHEME: Final = 'Bearer '
MIN_TOKEN_BYTES: Final = 8


class BearerToken:
    """Verifies tokens by comparison in constant time."""

    def __init__(self, token: bytes) -> None:
        self.token = token

    @classmethod
    def from_file(cls, path: Path) -> 'BearerToken':
        """Read the token; surrounding white space is removed.

        Raises:
            OSError: If the file cannot be read.
            ValueError: If the token is too short to be secure.
        """
        token = path.read_bytes().strip()
        if len(token) < MIN_TOKEN_BYTES:
            raise ValueError(
                f'{path} must contain at least {MIN_TOKEN_BYTES} characters',
            )
        return cls(token)

    def matches(self, authorization: str | None) -> bool:
        """Whether an `Authorization` header contains the token.

        None stands for a request without the header.
        """
        if authorization is None or not authorization.startswith(SCHEME):
            return False
        given = authorization.removeprefix(SCHEME).strip().encode()
        return hmac.compare_digest(given, self.token)
