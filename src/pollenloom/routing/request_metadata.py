"""Metadata of a request that routing uses."""

from dataclasses import dataclass
from typing import Final

import xxhash

from pollenloom.core.ids import PromptPartId

# Callers choose the ids of parts; longer ones are replaced by their hash, so
# that what is kept of them is bounded.
MAX_PART_ID_LENGTH: Final = 16


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share.

    Attributes:
        part_id: Id of the part, equal in all requests that share it.
        tokens: Length of the part.
    """

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Values decoded from the headers of a request.

    Attributes:
        request_id: Id that the caller gave to this attempt.
        api_key: The caller's API key; empty if none was sent.
        timeout_seconds: How long the caller waits; None if not given.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Expected tokens to generate.
        parts: Parts of the prompt in order; the last one is not shared.
        last_event_id: Id of the last event that the caller received; empty if
            none.
    """

    request_id: str
    api_key: str
    timeout_seconds: float | None
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event_id: str = ''

    @property
    def cost(self) -> float:
        """Cost in tokens, with output tokens counted twice; at least 1."""
        return max(1, self.prompt_tokens + 2 * self.output_tokens)

    @property
    def shared_tokens(self) -> int:
        """Prompt tokens in parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def shared_part_ids(self) -> tuple[PromptPartId, ...]:
        """Ids, of bounded length, of the parts that others may share."""
        return tuple(bounded_part_id(part.part_id) for part in self.parts[:-1])

    @property
    def affinity_key(self) -> str:
        """Id of the longest shared prefix; empty if nothing is shared."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ''


def bounded_part_id(part_id: str) -> PromptPartId:
    """Return the id of a part, or its hash if the id is long."""
    if len(part_id) <= MAX_PART_ID_LENGTH:
        return PromptPartId(part_id)
    return PromptPartId(xxhash.xxh3_64_hexdigest(part_id.encode()))
