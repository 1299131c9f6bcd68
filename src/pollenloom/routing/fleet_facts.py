"""Facts that the routers of a fleet share."""

from itertools import count
from typing import TYPE_CHECKING, Final

from pollenloom.core.ids import PromptPartId, ServiceId, VmId
from pollenloom.routing.fact_table import FactTable
from pollenloom.routing.prompt_facts import (
    BlockTrial,
    PartAnswer,
    PromptBlock,
    PromptCrash,
)
from pollenloom.routing.shared_fact import ContentT, SharedFact

if TYPE_CHECKING:
    from pollenloom.routing.named_limit import NamedLimit

# Time for which crashes and answers are compared.
EVIDENCE_SECONDS: Final = 600.0
# Blocks are kept for longer than they hold, see `PromptQuarantine`.
BLOCK_KEPT_SECONDS: Final = 1200.0
MAX_CRASHES: Final = 512
MAX_ANSWERS: Final = 1024
MAX_BLOCKS: Final = 256
MAX_TRIALS: Final = 1024
# A server that has answered nothing for this long may have changed its limit.
LIMIT_SECONDS: Final = 30.0
MAX_LIMITS: Final = 2048
MICROSECONDS: Final = 1_000_000


class FleetFacts:
    """Tables of the facts that this router and others observed.

    Attributes:
        crashes: Requests at servers that crashed, by fact id.
        answers: Latest answer to prompts with a part, by `part_key`.
        blocks: Blocked prompts, by `block_key`.
        trials: Trials of blocked prompts, by fact id.
        limits: Limits that servers named, by server.
    """

    def __init__(self, vm: VmId, wall: float) -> None:
        # Numbers begin anew with the process, the time of its start does not.
        self.id_prefix = f'{vm}/{int(wall * MICROSECONDS):x}/'
        self.numbers = count(1)
        self.crashes: FactTable[PromptCrash] = FactTable(
            EVIDENCE_SECONDS, MAX_CRASHES
        )
        self.answers: FactTable[PartAnswer] = FactTable(
            EVIDENCE_SECONDS, MAX_ANSWERS
        )
        self.blocks: FactTable[PromptBlock] = FactTable(
            BLOCK_KEPT_SECONDS, MAX_BLOCKS
        )
        self.trials: FactTable[BlockTrial] = FactTable(
            BLOCK_KEPT_SECONDS, MAX_TRIALS
        )
        self.limits: FactTable[NamedLimit] = FactTable(
            LIMIT_SECONDS, MAX_LIMITS
        )

    def drop_expired(self, now: float) -> None:
        """Remove facts that are too old."""
        for table in (
            self.crashes,
            self.answers,
            self.blocks,
            self.trials,
            self.limits,
        ):
            table.drop_expired(now)

    def make_fact(
        self, key: str, content: ContentT, observed_at: float
    ) -> SharedFact[ContentT]:
        """Return a fact that this router observed; its id if `key` is empty."""
        fact_id = f'{self.id_prefix}{next(self.numbers)}'
        return SharedFact(fact_id, key or fact_id, observed_at, content)

    def is_own(self, fact: SharedFact[ContentT]) -> bool:
        """Whether this process observed a fact."""
        return fact.fact_id.startswith(self.id_prefix)


def part_key(service: ServiceId, part: PromptPartId) -> str:
    """Return the key of facts about a part at a service."""
    return f'{service}/{part}'


def block_key(block: PromptBlock) -> str:
    """Return the key of a block."""
    accounts = ','.join(block.accounts) or '*'
    return f'{block.service}/{",".join(block.parts)}/{accounts}'
