"""Tokens computed from the prompt, so that a caller can check an answer."""

import re
from typing import Final

import xxhash

# A prompt sets the length of its answer by `[tokens=120]`. It is apart from
# `max_tokens`, which only is an upper bound, as with a real model.
LENGTH_DIRECTIVE: Final = re.compile(r'\[tokens=(\d{1,6})\]')
SHORTEST: Final = 8
LENGTH_RANGE: Final = 57
PROMPT_TOKEN_CHARACTERS: Final = 4


class TokenGenerator:
    """The one answer to a prompt, the same on every engine and version.

    Attributes:
        prompt_tokens: Length of the prompt in tokens.
        natural_length: Length of the answer without a limit.
    """

    def __init__(self, prompt: str) -> None:
        """Take the text of `CompletionRequest.prompt_text`."""
        encoded = prompt.encode()
        self.digest = xxhash.xxh64_digest(encoded)
        self.prompt_tokens = len(prompt) // PROMPT_TOKEN_CHARACTERS + 1
        directive = LENGTH_DIRECTIVE.search(prompt)
        if directive is None:
            number = xxhash.xxh64_intdigest(encoded)
            self.natural_length = SHORTEST + number % LENGTH_RANGE
        else:
            self.natural_length = int(directive.group(1))

    def length(self, limit: int | None = None) -> int:
        """Return the length of the answer; `limit` is `max_tokens`."""
        if limit is None:
            return self.natural_length
        return min(self.natural_length, limit)

    def token(self, index: int) -> str:
        """Return the token at an index, with the space after it."""
        return f'{xxhash.xxh64_hexdigest(self.digest, seed=index)[:6]} '

    def text(self, limit: int | None = None) -> str:
        """Return the whole answer."""
        return ''.join(self.token(index) for index in range(self.length(limit)))
