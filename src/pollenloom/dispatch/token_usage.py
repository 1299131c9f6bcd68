"""Cost of model requests in tokens, estimated and reported."""

from typing import Annotated, Final

import msgspec
from absl import logging

from pollenloom.validation.untrusted_bytes import decode_json

# Prompt tokens are computed in batches, so one costs a fraction of a generated
# token.
PROMPT_TOKEN_WEIGHT: Final = 1 / 8
BYTES_PER_TOKEN: Final = 4
# Far more than any context holds; what a server states beyond it is an error,
# which would charge its account for hours, or overflow.
MAX_TOKENS: Final = 100_000_000
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
DATA_FIELD: Final = b'data:'


class TokenUsage(msgspec.Struct, frozen=True):
    """The `usage` object of the published response format."""

    prompt_tokens: Tokens = 0
    completion_tokens: Tokens = 0

    def cost(self) -> float:
        """Return the cost in tokens, with prompt tokens weighted."""
        weighted = self.prompt_tokens * PROMPT_TOKEN_WEIGHT
        return self.completion_tokens + weighted


class UsageEnvelope(msgspec.Struct, frozen=True):
    """The part of a response or event that contains the usage."""

    usage: TokenUsage | None = None


def estimate_cost(prompt_bytes: int, max_tokens: int) -> float:
    """Return the cost in tokens as estimated before the request runs."""
    prompt_tokens = prompt_bytes / BYTES_PER_TOKEN
    return prompt_tokens * PROMPT_TOKEN_WEIGHT + max_tokens


def read_usage(body: bytes) -> TokenUsage | None:
    """Return the usage in a JSON response or event; None without one."""
    decoded = decode_json(body, UsageEnvelope)
    if decoded.is_error():
        logging.debug('usage_not_read: %s', decoded.error.detail)
        return None
    return decoded.ok.usage


def read_stream_usage(recent: tuple[bytes, ...]) -> TokenUsage | None:
    """Return the usage in the last events of a stream; None without one."""
    tail = b''.join(recent)
    for line in reversed(tail.splitlines()):
        if line.startswith(DATA_FIELD) and b'"usage"' in line:
            usage = read_usage(line.removeprefix(DATA_FIELD))
            if usage is not None:
                return usage
    return None
