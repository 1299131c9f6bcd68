"""Answers of the claim desk while the platform is down."""

from types import SimpleNamespace
from typing import Any

import pytest

from pollenloom.core.error_responses import ERROR_RESPONSES
from pollenloom.core.ids import Offset
from pollenloom.core.states import RunStatus
from pollenloom.kernel.kernel import Kernel
from pollenloom.orders.claim_coordinator import ClaimCoordinator
from pollenloom.orders.claim_verdict import ClaimVerdict
from pollenloom.orders.order_coordinator import VERDICT_ERRORS
from pollenloom.orders.order_entries import OrderBatch, OrderOutcome
from pollenloom.orders.order_messages import ClaimOrder
from tests.fakes.memory_membership import MemoryMembership, make_member
from tests.fakes.memory_platform import MemoryPlatform
from tests.manual_clock import ManualClock
from tests.orders.test_order_index import NOW, make_claim, make_key


@pytest.fixture
def coordinator() -> ClaimCoordinator:
    """A desk that cannot reach the platform."""
    clock = ManualClock(NOW)
    platform = MemoryPlatform(clock)
    platform.down = True
    member = make_member('vm-a', 'enschede')
    # Only these two attributes of the log's tail are read here.
    tail: Any = SimpleNamespace(caught_up=False, earliest_retained_at=1.0)
    membership = MemoryMembership(member, [member])
    return ClaimCoordinator(Kernel(clock), platform, tail, membership)


async def claim_again(coordinator: ClaimCoordinator) -> ClaimVerdict:
    """Repeat an order; return the verdict."""
    message = ClaimOrder(make_claim('b', make_key()), wait_seconds=0)
    answer = await coordinator.answer_claim(
        make_member('b', 'almelo').vm, message
    )
    return answer.verdict


@pytest.mark.parametrize('has_outcome', [False, True])
async def test_repeat_of_an_order_is_not_told_not_run(
    coordinator: ClaimCoordinator,
    has_outcome: bool,
) -> None:
    """Guards against a caller who orders again what has run."""
    key = make_key()
    first = make_claim('a', key)
    coordinator.index.apply(Offset(1), NOW, OrderBatch(claims=(first,)))
    if has_outcome:
        outcome = OrderOutcome(key, first.claim, known=True, status=201)
        coordinator.index.apply(Offset(2), NOW, OrderBatch(outcomes=(outcome,)))
    error = VERDICT_ERRORS[await claim_again(coordinator)]
    assert ERROR_RESPONSES[error].run is RunStatus.UNKNOWN


async def test_new_order_is_told_not_run(coordinator: ClaimCoordinator) -> None:
    """Guards against an outage that leaves callers in doubt."""
    assert await claim_again(coordinator) is ClaimVerdict.UNAVAILABLE


async def test_restarted_coordinator_does_not_vouch_for_a_key(
    coordinator: ClaimCoordinator,
) -> None:
    """Guards against "not run" from a desk that has read nothing yet.

    Soak seed 307: a router restarted during an outage, and a repeat of an
    order that had run was told that it was not.
    """
    tail: Any = SimpleNamespace(caught_up=False, earliest_retained_at=None)
    coordinator.tail = tail
    error = VERDICT_ERRORS[await claim_again(coordinator)]
    assert ERROR_RESPONSES[error].run is RunStatus.UNKNOWN
