"""What the facts of the fleet say about prompt parts and crashes."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from pollenloom.core.ids import AccountId, PromptPartId, ServerId, ServiceId
from pollenloom.routing.fleet_facts import FleetFacts, part_key
from pollenloom.routing.prompt_facts import PromptBlock, PromptCrash
from pollenloom.routing.shared_fact import SharedFact

# The server's software may have been mended after this time, so that one more
# request is tried; a single crash then renews the block.
BLOCK_SECONDS: Final = 600.0
# Crashes closer to each other may have one cause, such as a power failure.
MOMENT_SECONDS: Final = 0.1
# Losses of one server within this time belong to one crash; no server starts
# again and gets requests sooner. Where the start of the server is known, all
# its losses until the next one do: a process ends only once, and connections
# that are lost again and again are those of a path that is cut.
SAME_CRASH_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class SuspectRequest:
    """A request that had hardly been answered when its server crashed.

    Attributes:
        service: Service of the server.
        account: Client account; empty if there is none.
        parts: Shared parts of the prompt that no later answer has cleared, in
            the order of the prompt.
    """

    service: ServiceId
    account: AccountId
    parts: tuple[PromptPartId, ...]


@dataclass(slots=True)
class ServerCrash:
    """One crash of a server.

    Attributes:
        at: When the first connection was lost, monotonic seconds.
        requests: Requests that the server had hardly answered.
        started_at: When the server had started, see `PromptCrash`.
        is_explained: Whether one of them has a blocked prompt.
    """

    at: float
    started_at: float = 0
    requests: list[SuspectRequest] = field(default_factory=list)
    is_explained: bool = False

    def includes(self, loss: 'CrashFact') -> bool:
        """Whether a later loss of the same server belongs to this crash."""
        started_at = loss.content.started_at
        if started_at and self.started_at:
            return started_at == self.started_at
        return loss.observed_at <= self.at + SAME_CRASH_SECONDS


CrashFact = SharedFact[PromptCrash]
BlockFact = SharedFact[PromptBlock]


class CrashEvidence:
    """Relates crashes, answers and blocks to each other.

    A part of a prompt is cleared by an answer that began after the crash or
    block that it is in.

    Attributes:
        facts: Facts of this router and others.
    """

    def __init__(self, facts: FleetFacts) -> None:
        self.facts = facts

    def watched_since(self) -> dict[str, float]:
        """Return the parts in crashes and blocks with their latest time."""
        latest: dict[str, float] = {}
        tables: tuple[Iterable[CrashFact] | Iterable[BlockFact], ...] = (
            self.facts.crashes.facts.values(),
            self.facts.blocks.facts.values(),
        )
        for table in tables:
            for fact in table:
                for part in fact.content.parts:
                    key = part_key(fact.content.service, part)
                    at = latest.get(key, fact.observed_at)
                    latest[key] = max(at, fact.observed_at)
        return latest

    def is_cleared(
        self, service: ServiceId, part: PromptPartId, since: float
    ) -> bool:
        """Whether a prompt with the part was answered after `since`."""
        key = part_key(service, part)
        return self.facts.answers.observed_at(key) > since

    def remaining_parts(
        self, fact: CrashFact | BlockFact
    ) -> tuple[PromptPartId, ...]:
        """Return the parts of a fact that no later answer has cleared."""
        content = fact.content
        return tuple(
            part
            for part in content.parts
            if not self.is_cleared(content.service, part, fact.observed_at)
        )

    def explains(self, block: BlockFact, crash: CrashFact) -> bool:
        """Whether the parts of a block are in a crash while it holds."""
        if block.content.service != crash.content.service:
            return False
        if crash.observed_at >= block.observed_at + BLOCK_SECONDS:
            return False
        remaining = self.remaining_parts(block)
        held = frozenset(crash.content.parts)
        return bool(remaining) and held.issuperset(remaining)

    def crash_of_other_account(self, block: BlockFact) -> CrashFact | None:
        """Return a crash that a block explains, of an account not in it."""
        for crash in self.facts.crashes.facts.values():
            is_other = crash.content.account not in block.content.accounts
            if is_other and self.explains(block, crash):
                return crash
        return None

    def server_crashes(self) -> list[ServerCrash]:
        """Return the crashes that no block explains, in order of time.

        Losses of one server at about the same time belong to one crash, which
        several routers may have seen. A crash with a blocked prompt is
        explained by it, so it says nothing about the other requests.
        """
        blocks = tuple(self.facts.blocks.facts.values())
        latest: dict[ServerId, ServerCrash] = {}
        crashes: list[ServerCrash] = []
        ordered = sorted(
            self.facts.crashes.facts.values(),
            key=lambda fact: fact.observed_at,
        )
        for fact in ordered:
            crash = latest.get(fact.content.server)
            if crash is None or not crash.includes(fact):
                crash = ServerCrash(fact.observed_at, fact.content.started_at)
                latest[fact.content.server] = crash
                crashes.append(crash)
            crash.requests.append(
                SuspectRequest(
                    fact.content.service,
                    fact.content.account,
                    self.remaining_parts(fact),
                )
            )
            crash.is_explained = crash.is_explained or any(
                self.explains(block, fact) for block in blocks
            )
        return [crash for crash in crashes if not crash.is_explained]

    def count_others(self, key: str, since: float) -> int:
        """Return how many requests without a part were lost in crashes.

        Args:
            key: Key of the part.
            since: Monotonic seconds from which requests are counted.
        """
        service, _, part = key.partition('/')
        return sum(
            fact.observed_at >= since
            and fact.content.service == service
            and part not in fact.content.parts
            for fact in self.facts.crashes.facts.values()
        )

    def lapsed_parts(self, now: float) -> frozenset[str]:
        """Return the keys of parts whose block has ended and is still kept."""
        return frozenset(
            part_key(fact.content.service, part)
            for fact in self.facts.blocks.facts.values()
            if fact.observed_at < now - BLOCK_SECONDS
            for part in self.remaining_parts(fact)
        )


def crashes_by_part(
    crashes: Iterable[ServerCrash],
) -> dict[str, list[ServerCrash]]:
    """Return the crashes with a request that has a part, by `part_key`."""
    by_part: dict[str, list[ServerCrash]] = {}
    for crash in crashes:
        keys = {
            part_key(request.service, part)
            for request in crash.requests
            for part in request.parts
        }
        for key in keys:
            by_part.setdefault(key, []).append(crash)
    return by_part


def count_moments(
    crashes: Iterable[ServerCrash], seconds: float = MOMENT_SECONDS
) -> int:
    """Return the number of separate moments of crashes in order of time.

    Args:
        crashes: The crashes.
        seconds: Least time between two moments.
    """
    moments = 0
    latest = float('-inf')
    for crash in crashes:
        if crash.at >= latest + seconds:
            moments += 1
            latest = crash.at
    return moments
