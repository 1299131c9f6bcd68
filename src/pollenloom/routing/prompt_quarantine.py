"""Decision which prompts crash backend servers and are refused."""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import count
from typing import Final

from pollenloom.core.ids import AccountId, PromptPartId, ServerId, ServiceId
from pollenloom.routing.answer_history import AnswerHistory
from pollenloom.routing.common_parts import CommonParts
from pollenloom.routing.crash_evidence import (
    BLOCK_SECONDS,
    BlockFact,
    CrashEvidence,
    ServerCrash,
    count_moments,
    crashes_by_part,
)
from pollenloom.routing.fleet_facts import FleetFacts, block_key, part_key
from pollenloom.routing.prompt_facts import PartAnswer, PromptBlock, PromptCrash
from pollenloom.routing.request_identity import (
    is_identity,
    is_identity_key,
)

# A server that is about to crash may send a first event. An answer counts if
# its server has not crashed this long after its first byte.
SURVIVAL_SECONDS: Final = 0.2
# Time until the answers that clear a part of a crash are known on all routers:
# they must survive, and are passed on three times, each 0.1 s.
MATURITY_SECONDS: Final = 0.7
# Probability at which crashes with a sound part in common count as a proof.
MAX_CHANCE: Final = 0.001
MIN_CRASHES: Final = 3
# A request that crashes servers is sent to the next one after the one before
# has ended, so its crashes may follow each other within less than a tenth of a
# second. Servers that lose power end within a few milliseconds.
REQUEST_MOMENT_SECONDS: Final = 0.03
# Counts beside the observed ones, so that few observations prove little.
PRIOR_CRASHED: Final = 2.0
PRIOR_ATTEMPTS: Final = 4.0
MIN_ANSWERS: Final = 10
MAX_CRASHES: Final = 12
# A part that is in fewer crashes is no explanation of the others.
MIN_REPEATED: Final = 2
# Parts of a prompt that are kept of a crash: the last ones, which fewest
# requests have.
MAX_KEPT_PARTS: Final = 32
# New blocks in one evaluation, which bounds its time.
MAX_NEW_BLOCKS: Final = 8


@dataclass(frozen=True, slots=True)
class BegunAnswer:
    """An answer whose server may still crash.

    Attributes:
        server: The server.
        service: Service of the server.
        parts: Shared parts of the prompt, and the identity of the request.
        began_at: When its first byte arrived, monotonic seconds.
    """

    server: ServerId
    service: ServiceId
    parts: tuple[PromptPartId, ...]
    began_at: float


class PromptQuarantine:
    """Finds the parts of prompts under which servers crash.

    Each crash puts under suspicion all parts of the requests that the server
    had hardly answered. A later answer to a prompt with a part, at any router,
    clears it. A part that stays uncleared in more crashes, one after the
    other, than chance explains is blocked, together with the parts that all
    requests with it in these crashes have in common: only a prompt that holds
    all of them is known to crash servers.

    Attributes:
        facts: Facts of this router and others.
        evidence: Relations between these facts.
        histories: Answers of the fleet, by service.
        begun: Answers whose server may still crash, by number.
        suspects: Keys of the parts in uncleared crashes that are mature.
        evaluated: Change counts of the facts at the latest evaluation.
        changed_at: When a change was found last, monotonic seconds.
    """

    def __init__(self, facts: FleetFacts) -> None:
        self.facts = facts
        self.evidence = CrashEvidence(facts)
        self.histories: dict[ServiceId, AnswerHistory] = defaultdict(
            AnswerHistory
        )
        self.begun: dict[int, BegunAnswer] = {}
        self.numbers = count(1)
        self.suspects: frozenset[str] = frozenset()
        self.evaluated: tuple[int, int] = (0, 0)
        self.changed_at = float('-inf')

    def answer_began(self, answer: BegunAnswer) -> int:
        """Record the first byte of an answer; return a number for it."""
        # The fleet's answers are counted from the first one of this router.
        self.histories.setdefault(answer.service, AnswerHistory())
        number = next(self.numbers)
        self.begun[number] = answer
        return number

    def answer_lost(self, number: int) -> None:
        """Record that the connection of an answer was lost."""
        self.begun.pop(number, None)

    def record_crash(self, crash: PromptCrash, lost_at: float) -> None:
        """Record a request that was hardly answered when its server crashed.

        Args:
            crash: The request; one without parts is no evidence.
            lost_at: When its connection was lost, monotonic seconds.
        """
        if not crash.parts:
            return
        kept = replace(crash, parts=crash.parts[-MAX_KEPT_PARTS:])
        fact = self.facts.make_fact('', kept, lost_at)
        self.facts.crashes.put(fact, lost_at)

    def observe_answers(
        self, service: ServiceId, answers: float, now: float
    ) -> None:
        """Record the decaying count of the fleet's answers of a service."""
        self.histories[service].observe(answers, now)

    def settle(self, now: float) -> None:
        """Clear the parts of answers that their servers survived."""
        settled = [
            number
            for number, answer in self.begun.items()
            if answer.began_at <= now - SURVIVAL_SECONDS
        ]
        answers = [self.begun.pop(number) for number in settled]
        watched = self.evidence.watched_since() if answers else {}
        if not watched:
            return
        crashed_at = {
            fact.content.server: fact.observed_at
            for fact in self.facts.crashes.facts.values()
        }
        for answer in answers:
            crashed = crashed_at.get(answer.server, float('-inf'))
            if not 0 <= crashed - answer.began_at <= SURVIVAL_SECONDS:
                self.clear(answer, watched, now)

    def clear(
        self, answer: BegunAnswer, watched: dict[str, float], now: float
    ) -> None:
        """Share that the parts of an answer are sound, where it matters.

        Args:
            answer: The answer.
            watched: Latest time of the parts in crashes and blocks.
            now: Monotonic seconds.
        """
        for part in answer.parts:
            key = part_key(answer.service, part)
            latest = watched.get(key)
            if latest is None or self.facts.answers.observed_at(key) > latest:
                continue
            content = PartAnswer(answer.service, part)
            fact = self.facts.make_fact(key, content, answer.began_at)
            self.facts.answers.put(fact, now)

    def find_block(
        self,
        service: ServiceId,
        account: AccountId,
        parts: Iterable[PromptPartId],
        now: float,
    ) -> BlockFact | None:
        """Return the block that a request falls under, if any."""
        held = frozenset(parts)
        for fact in self.facts.blocks.facts.values():
            block = fact.content
            is_meant = block.service == service and (
                not block.accounts or account in block.accounts
            )
            if not is_meant or fact.observed_at < now - BLOCK_SECONDS:
                continue
            remaining = self.evidence.remaining_parts(fact)
            if remaining and held.issuperset(remaining):
                return fact
        return None

    def is_suspect(
        self, service: ServiceId, parts: Iterable[PromptPartId]
    ) -> bool:
        """Whether a part is in a crash and no answer has cleared it since."""
        return any(part_key(service, part) in self.suspects for part in parts)

    def released_blocks(self) -> dict[str, BlockFact]:
        """Return the blocks whose parts were all answered since, by key."""
        return {
            key: fact
            for key, fact in self.facts.blocks.facts.items()
            if not self.evidence.remaining_parts(fact)
        }

    def decide(self, now: float) -> list[BlockFact]:
        """Evaluate the evidence; return the new blocks.

        Does nothing while no fact has changed and all crashes are mature.
        """
        changes = (
            self.facts.crashes.change_count,
            self.facts.answers.change_count,
        )
        if changes != self.evaluated:
            self.evaluated = changes
            self.changed_at = now
        if now > self.changed_at + MATURITY_SECONDS + SURVIVAL_SECONDS:
            return []
        found: list[BlockFact] = []
        crashes = self.mature_crashes(now)
        for _ in range(MAX_NEW_BLOCKS):
            fact = self.widened_block(now) or self.next_block(crashes, now)
            if fact is None or not self.facts.blocks.put(fact, now):
                break
            found.append(fact)
            crashes = self.mature_crashes(now)
        self.suspects = frozenset(crashes_by_part(crashes))
        return found

    def mature_crashes(self, now: float) -> list[ServerCrash]:
        """Return the unexplained crashes after which all answers are known."""
        return [
            crash
            for crash in self.evidence.server_crashes()
            if crash.at <= now - MATURITY_SECONDS
        ]

    def widened_block(self, now: float) -> BlockFact | None:
        """Return a block for all accounts if a further one sends the parts."""
        blocks = self.facts.blocks.facts
        for block in blocks.values():
            wide = replace(block.content, accounts=())
            key = block_key(wide)
            if key in blocks or block.observed_at < now - BLOCK_SECONDS:
                continue
            further = self.evidence.crash_of_other_account(block)
            if further is not None:
                at = max(block.observed_at, further.observed_at)
                return self.facts.make_fact(key, wide, at)
        return None

    def next_block(
        self, crashes: list[ServerCrash], now: float
    ) -> BlockFact | None:
        """Return the most specific block that is proven, if there is one.

        Args:
            crashes: Crashes in order of time.
            now: Monotonic seconds.
        """
        by_part = crashes_by_part(crashes)
        lapsed = self.evidence.lapsed_parts(now)
        # A client sends a request again that holds a crashing part, so its
        # identity explains no crash that the part explains.
        repeated = frozenset(
            key
            for key, found in by_part.items()
            if len(found) >= MIN_REPEATED and not is_identity_key(key)
        )
        proven = [
            common
            for key, found in by_part.items()
            if (
                common := prove_request(key, found)
                or self.prove(key, found, lapsed, repeated)
            )
            is not None
        ]
        if not proven:
            return None
        return self.make_block(max(proven, key=lambda best: len(best.parts)))

    def prove(
        self,
        key: str,
        crashes: list[ServerCrash],
        lapsed: frozenset[str],
        repeated: frozenset[str],
    ) -> CommonParts | None:
        """Return what requests with a part have in common, if chance is out.

        One crash renews a block, of which only its own parts are known.

        Args:
            key: Key of the part.
            crashes: Crashes with such requests, in order of time.
            lapsed: Keys of the parts whose block has ended.
            repeated: Keys of the parts that may explain crashes themselves.
        """
        if key in lapsed:
            return CommonParts(key, crashes).restricted_to(lapsed)
        moments = count_moments(crashes)
        if moments < MIN_CRASHES:
            return None
        needed = self.needed_crashes(key, crashes)
        if needed is None or moments < needed:
            return None
        common = CommonParts(key, crashes)
        if is_identity_key(key) and len(common.parts) > 1:
            # A part of the prompt may be the cause as well.
            return None
        return common if common.moments_without(repeated) >= needed else None

    def make_block(self, common: CommonParts) -> BlockFact:
        """Return the block of the parts that crashes have in common.

        An answer after the last of these crashes clears a part of the block,
        also if it becomes known later.
        """
        accounts = common.accounts
        block = PromptBlock(
            common.service,
            tuple(sorted(common.parts)),
            tuple(accounts) if len(accounts) == 1 else (),
            len(common.crashes),
        )
        return self.facts.make_fact(
            block_key(block), block, common.crashes[-1].at
        )

    def needed_crashes(
        self, key: str, crashes: list[ServerCrash]
    ) -> int | None:
        """Return how many crashes with a part in common are no chance.

        None if the fleet has answered too little to tell a part that is never
        answered from a service that does not answer at all.
        """
        service = crashes[0].requests[0].service
        since = crashes[0].at
        answered = self.histories[service].answered_since(since)
        if answered < MIN_ANSWERS:
            return None
        crashed = self.evidence.count_others(key, since)
        share = (crashed + PRIOR_CRASHED) / (
            crashed + answered + PRIOR_ATTEMPTS
        )
        needed = math.ceil(math.log(MAX_CHANCE) / math.log(share))
        return min(MAX_CRASHES, max(MIN_CRASHES, needed))


def prove_request(key: str, crashes: list[ServerCrash]) -> CommonParts | None:
    """Return what a request that came again holds, if it is proven.

    Nothing else may explain the crashes: neither another request that is in
    all of them, nor a part of its prompt that was not answered since.

    Args:
        key: Key of the identity of a request, or of a part.
        crashes: Crashes with such requests, in order of time.
    """
    if count_moments(crashes, REQUEST_MOMENT_SECONDS) < MIN_CRASHES:
        return None
    if not is_only_common_request(key, crashes):
        return None
    common = CommonParts(key, crashes)
    return common if len(common.parts) == 1 else None


def is_only_common_request(key: str, crashes: list[ServerCrash]) -> bool:
    """Whether a key is the only request that some crashes have in common.

    After crashes with another cause, a request that comes often may be among
    those lost in each, but then so are others.
    """
    identities = [
        {
            part_key(request.service, part)
            for request in crash.requests
            for part in request.parts
            if is_identity(part)
        }
        for crash in crashes
    ]
    return set.intersection(*identities) == {key}
