"""Trials of blocked prompts, which end blocks that are wrong."""

import math
from typing import Final

from pollenloom.routing.crash_evidence import BlockFact
from pollenloom.routing.fleet_facts import FleetFacts
from pollenloom.routing.prompt_facts import BlockTrial
from pollenloom.routing.request_identity import is_identity
from pollenloom.routing.shared_fact import SharedFact

# Time from the latest crash that proves a block until one request is tried; the
# time doubles with each further trial.
FIRST_TRIAL_SECONDS: Final = 10.0
# The same for a block of one request, which keeps out no others.
FIRST_REQUEST_TRIAL_SECONDS: Final = 60.0

TrialClaim = SharedFact[BlockTrial]


class BlockTrials:
    """Lets one router of the fleet at a time try a blocked prompt.

    What is blocked by mistake would otherwise stay blocked, as only an answer
    shows that it is sound. A prompt that does crash servers ends few more of
    them, since the time between trials doubles.

    Attributes:
        facts: Facts of this router and others.
    """

    def __init__(self, facts: FleetFacts) -> None:
        self.facts = facts

    def claim(self, block: BlockFact, now: float) -> TrialClaim | None:
        """Claim the trial that is due, if there is one and nobody has yet.

        Args:
            block: Block that the request falls under.
            now: Monotonic seconds.
        """
        first = FIRST_TRIAL_SECONDS
        if any(map(is_identity, block.content.parts)):
            first = FIRST_REQUEST_TRIAL_SECONDS
        periods = max(0, now - block.observed_at) / first
        number = int(math.log2(periods + 1))
        trial = BlockTrial(block.key, number)
        if number < 1 or self.claims(trial):
            return None
        fact = self.facts.make_fact('', trial, now)
        self.facts.trials.put(fact, now)
        return fact

    def claims(self, trial: BlockTrial) -> list[TrialClaim]:
        """Return the known claims of a trial."""
        return [
            fact
            for fact in self.facts.trials.facts.values()
            if fact.content == trial
        ]

    def is_granted(self, claim: TrialClaim) -> bool:
        """Whether a claim is the one that counts, of all that are known.

        Several routers may claim at once. When each knows the claims of the
        others, all decide alike.
        """
        known = (fact.fact_id for fact in self.claims(claim.content))
        return min(known, default='') == claim.fact_id
