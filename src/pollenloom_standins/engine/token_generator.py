"""Tokens computed from the prompt, so that a caller can check an answer."""

import re
from dataclasses import dataclass
from typing import Final

import xxhash

# A prompt sets the length of its answer by `[tokens=120]`. It is apart from
# `max_tokens`, which only is an upper bound, as with a real model.
LENGTH_DIRECTIVE: Final = re.compile(r'\[tokens=(\d{1,6})\]')
SHORTEST: Final = 8
LENGTH_RANGE: Final = 57
PROMPT_TOKEN_CHARACTERS: Final = 4


@dataclass(frozen=True, slots=True)
class TokenGenerator:
    """The one answer to a prompt, the same on every engine and version.

    Attributes:
        prompt: Text of the prompt; see `CompletionRequest.prompt_text`.
    """

    prompt: str

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt in tokens."""
        return len(self.prompt) // PROMPT_TOKEN_CHARACTERS + 1

    def length(self, limit: int | None = None) -> int:
        """Length of the answer in tokens; `limit` is `max_tokens`."""
        directive = LENGTH_DIRECTIVE.search(self.prompt)
        if directive is None:
            digest = xxhash.xxh64_intdigest(self.prompt.encode())
            length = SHORTEST + digest % LENGTH_RANGE
        else:
            length = int(directive.group(1))
        return length if limit is None else min(length, limit)

    def token(self, index: int) -> str:
        """Return the token at an index, with the space after it."""
        digest = xxhash.xxh64_hexdigest(self.prompt.encode(), seed=index)
        return f'{digest[:6]} '

    def text(self, limit: int | None = None) -> str:
        """Return the whole answer."""
        return ''.join(self.token(index) for index in range(self.length(limit)))
