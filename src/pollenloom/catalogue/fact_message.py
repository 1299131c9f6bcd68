"""Encoded form of the facts that routers share."""

from collections.abc import Iterable
from typing import Annotated, Final, Generic, TypeVar

import msgspec

from pollenloom.core.ids import VmId
from pollenloom.routing.named_limit import NamedLimit
from pollenloom.routing.prompt_facts import (
    BlockTrial,
    PartAnswer,
    PromptBlock,
    PromptCrash,
)
from pollenloom.routing.shared_fact import SharedFact

# All facts expire much earlier; see `FleetFacts`.
MAX_AGE_SECONDS: Final = 1_000_000

ContentT = TypeVar('ContentT')


class EncodedFact(msgspec.Struct, Generic[ContentT], frozen=True):
    """A fact with its age, since the clocks of VMs differ.

    Attributes:
        fact_id: Unique id of the observation.
        key: Subject of the observation.
        age: Seconds since the observation.
        content: What was observed.
    """

    fact_id: str
    key: str
    age: Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_SECONDS)]
    content: ContentT


class FactsMessage(msgspec.Struct, frozen=True, tag='facts'):
    """Facts that the sender observed or received.

    Attributes:
        router: Sender.
        crashes: Requests at servers that crashed.
        answers: Answers to prompts with parts of such requests.
        blocks: Blocked prompts.
        limits: Limits that servers named.
        trials: Trials of blocked prompts.
    """

    router: VmId
    crashes: list[EncodedFact[PromptCrash]] = []
    answers: list[EncodedFact[PartAnswer]] = []
    blocks: list[EncodedFact[PromptBlock]] = []
    limits: list[EncodedFact[NamedLimit]] = []
    trials: list[EncodedFact[BlockTrial]] = []

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to send."""
        lists = (
            self.crashes,
            self.answers,
            self.blocks,
            self.limits,
            self.trials,
        )
        return not any(lists)


def encode_facts(
    facts: Iterable[SharedFact[ContentT]], now: float
) -> list[EncodedFact[ContentT]]:
    """Return the encoded form of facts at `now`, monotonic seconds."""
    return [
        EncodedFact(
            fact.fact_id, fact.key, max(0, now - fact.observed_at), fact.content
        )
        for fact in facts
    ]


def decode_facts(
    encoded: Iterable[EncodedFact[ContentT]], now: float
) -> list[SharedFact[ContentT]]:
    """Return the facts that arrived at `now`, monotonic seconds."""
    return [
        SharedFact(fact.fact_id, fact.key, now - fact.age, fact.content)
        for fact in encoded
    ]
