"""Cost of model requests in tokens, from hints and from answers."""

from typing import Final

import msgspec

# A prompt token is computed in a batch with its neighbours and costs a
# fraction of a generated one.
PROMPT_TOKEN_WEIGHT: Final = 1 / 8
BYTES_PER_TOKEN: Final = 4
DATA_FIELD: Final = b'data:'


class TokenUsage(msgspec.Struct, frozen=True):
    """The `usage` object of the published answer form."""

    prompt_tokens: int = 0
    completion_tokens: int = 0

    def cost(self) -> float:
        """Cost in tokens."""
        weighted = self.prompt_tokens * PROMPT_TOKEN_WEIGHT
        return self.completion_tokens + weighted


class UsageCarrier(msgspec.Struct, frozen=True):
    """The part of an answer or event that names the usage."""

    usage: TokenUsage | None = None


def estimate_cost(prompt_bytes: int, max_tokens: int) -> float:
    """Return the rough cost in tokens, known before the request runs."""
    prompt_tokens = prompt_bytes / BYTES_PER_TOKEN
    return prompt_tokens * PROMPT_TOKEN_WEIGHT + max_tokens


def read_usage(body: bytes) -> TokenUsage | None:
    """Return the usage that a JSON answer or event names, if any."""
    try:
        return msgspec.json.decode(body, type=UsageCarrier).usage
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def read_stream_usage(recent: tuple[bytes, ...]) -> TokenUsage | None:
    """Return the usage that the last events of a stream name, if any."""
    tail = b''.join(recent)
    for line in reversed(tail.splitlines()):
        if line.startswith(DATA_FIELD) and b'"usage"' in line:
            usage = read_usage(line.removeprefix(DATA_FIELD))
            if usage is not None:
                return usage
    return None
