"""Tokens computed from the prompt, so that callers can check responses."""

import re
from typing import Final

import xxhash

# A prompt sets the length of its response with `[tokens=120]`, since
# `max_tokens` is only an upper bound, as with a real model.
LENGTH_DIRECTIVE: Final = re.compile(r'\[tokens=(\d{1,6})\]')
MINIMUM_LENGTH_TOKENS: Final = 8
LENGTH_RANGE_TOKENS: Final = 57
PROMPT_TOKEN_CHARACTERS: Final = 4


class TokenGenerator:
    """The response to a prompt, the same on every engine and version.

    Attributes:
        prompt_tokens: Length of the prompt in tokens.
        natural_length: Length of the response in tokens without a limit.
    """

    def __init__(self, prompt: str) -> None:
        """Compute the lengths from a `CompletionRequest.prompt_text`."""
        encoded = prompt.encode()
        self.digest = xxhash.xxh64_digest(encoded)
        self.prompt_tokens = len(prompt) // PROMPT_TOKEN_CHARACTERS + 1
        directive = LENGTH_DIRECTIVE.search(prompt)
        if directive is None:
            number = xxhash.xxh64_intdigest(encoded)
            self.natural_length = (
                MINIMUM_LENGTH_TOKENS + number % LENGTH_RANGE_TOKENS
            )
        else:
            self.natural_length = int(directive.group(1))

    def length(self, limit: int | None = None) -> int:
        """Return the length of the response in tokens.

        Args:
            limit: Maximum length, None without one.
        """
        if limit is None:
            return self.natural_length
        return min(self.natural_length, limit)

    def token(self, index: int) -> str:
        """Return the token at an index, with a trailing space."""
        return f'{xxhash.xxh64_hexdigest(self.digest, seed=index)[:6]} '

    def text(self, limit: int | None = None) -> str:
        """Return the text of the complete response."""
        return ''.join(self.token(index) for index in range(self.length(limit)))
