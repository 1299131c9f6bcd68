"""A client account in a service's file."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from pollenloom.core.ids import AccountId

NAME_PATTERN = '^[a-z0-9][a-z0-9-]{0,62}$'
KEY_HASH_PATTERN = '^[0-9a-f]{64}$'

KeyHash = Annotated[str, Field(pattern=KEY_HASH_PATTERN)]


class AccountEntry(BaseModel):
    """Fair share and API keys of one client account for one service.

    Attributes:
        name: Id of the client account; the same in all services' files.
        share: Weight of its fair share, above 0.
        key_hashes: SHA-256 hashes of its API keys, 64 hexadecimal digits each.
        max_waiting: Maximum number of its requests that wait on one router.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: AccountId = Field(pattern=NAME_PATTERN)
    share: float = Field(gt=0, le=1_000_000)
    key_hashes: tuple[KeyHash, ...] = Field(default=())
    max_waiting: int = Field(default=64, ge=1, le=10_000)
