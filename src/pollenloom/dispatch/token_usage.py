"""Cost of model requests in tokens, estimated and reported."""

from typing import Final

import msgspec

# Prompt tokens are computed in batches, so one costs a fraction of a generated
# token.
PROMPT_TOKEN_WEIGHT: Final = 1 / 8
BYTES_PER_TOKEN: Final = 4
DATA_FIELD: Final = b'data:'


class TokenUsage(msgspec.Struct, frozen=True):
    """The `usage` object of the published response format."""

    prompt_tokens: int = 0
    completion_tokens: int = 0

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
    try:
        return msgspec.json.decode(body, type=UsageEnvelope).usage
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def read_stream_usage(recent: tuple[bytes, ...]) -> TokenUsage | None:
    """Return the usage in the last events of a stream; None without one."""
    tail = b''.join(recent)
    for line in reversed(tail.splitlines()):
        if line.startswith(DATA_FIELD) and b'"usage"' in line:
            usage = read_usage(line.removeprefix(DATA_FIELD))
            if usage is not None:
                return usage
    return None
