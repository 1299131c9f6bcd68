"""Trials of blocked prompts."""

import pytest

from pollenloom.core.ids import PromptPartId, ServiceId, VmId
from pollenloom.routing.block_trials import (
    FIRST_REQUEST_TRIAL_SECONDS,
    FIRST_TRIAL_SECONDS,
    BlockTrials,
)
from pollenloom.routing.crash_evidence import BlockFact
from pollenloom.routing.fleet_facts import FleetFacts, block_key
from pollenloom.routing.prompt_facts import PromptBlock

BLOCKED_AT = 1000.0


@pytest.fixture
def fleet() -> list[BlockTrials]:
    """Trials as several routers know them."""
    return [
        BlockTrials(FleetFacts(VmId(f'vm-{number}'), 0)) for number in range(5)
    ]


@pytest.fixture
def block(fleet: list[BlockTrials]) -> BlockFact:
    """A block that the first router decided on."""
    content = PromptBlock(ServiceId('app'), (PromptPartId('part'),), (), 3)
    return fleet[0].facts.make_fact(block_key(content), content, BLOCKED_AT)


def exchange(fleet: list[BlockTrials], now: float) -> None:
    """Let all routers learn what each of them knows."""
    claims = [
        fact for trials in fleet for fact in trials.facts.trials.facts.values()
    ]
    for trials in fleet:
        for fact in claims:
            trials.facts.trials.put(fact, now)


def test_no_trial_is_due_soon_after_the_crashes(
    fleet: list[BlockTrials], block: BlockFact
) -> None:
    """Guards against a prompt that goes on to crash servers."""
    assert fleet[0].claim(block, BLOCKED_AT) is None
    late = BLOCKED_AT + FIRST_TRIAL_SECONDS - 0.1
    assert fleet[0].claim(block, late) is None


def test_one_router_tries_a_block_that_is_due(
    fleet: list[BlockTrials], block: BlockFact
) -> None:
    """Guards against a trial by each of hundreds of routers."""
    due = BLOCKED_AT + FIRST_TRIAL_SECONDS
    claims = [trials.claim(block, due) for trials in fleet]
    exchange(fleet, due + 0.5)
    granted = [
        trials.is_granted(claim)
        for trials, claim in zip(fleet, claims, strict=True)
        if claim is not None
    ]
    assert sum(granted) == 1
    assert not any(trials.claim(block, due + 1) for trials in fleet)


def test_few_requests_are_tried_in_a_long_time(
    fleet: list[BlockTrials], block: BlockFact
) -> None:
    """Guards against servers that a prompt goes on to crash each few seconds.

    At most three requests may reach servers within a minute of the block.
    """
    tried: set[int] = set()
    for second in range(600):
        now = BLOCKED_AT + second
        if any(trials.claim(block, now) for trials in fleet):
            tried.add(second)
        exchange(fleet, now)
    assert sorted(tried) == [10, 30, 70, 150, 310]


def test_trials_of_other_blocks_are_apart(
    fleet: list[BlockTrials], block: BlockFact
) -> None:
    """Guards against one block that holds up the trials of all others."""
    content = PromptBlock(ServiceId('app'), (PromptPartId('other'),), (), 3)
    other = fleet[0].facts.make_fact(block_key(content), content, BLOCKED_AT)
    due = BLOCKED_AT + FIRST_TRIAL_SECONDS
    assert fleet[0].claim(block, due) is not None
    assert fleet[0].claim(other, due) is not None


def test_request_that_crashes_servers_is_tried_later_than_a_part(
    fleet: list[BlockTrials],
) -> None:
    """Guards against trials that end more servers than the users allow.

    A request is blocked alone, so that nobody else waits for its trial.
    """
    parts = (PromptPartId('part'), PromptPartId('request:bad'))
    content = PromptBlock(ServiceId('app'), parts, (), 3)
    block = fleet[0].facts.make_fact(block_key(content), content, BLOCKED_AT)
    early = BLOCKED_AT + FIRST_REQUEST_TRIAL_SECONDS - 0.1
    assert fleet[0].claim(block, early) is None
    due = BLOCKED_AT + FIRST_REQUEST_TRIAL_SECONDS
    assert fleet[0].claim(block, due) is not None
