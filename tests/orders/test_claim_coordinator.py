"""Verdicts of the claim coordinator while the platform is down."""

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
    """A coordinator that cannot reach the platform."""
    clock = ManualClock(NOW)
    platform = MemoryPlatform(clock)
    platform.down = True
    member = make_member('vm-a', 'enschede')
    # The coordinator reads only these two attributes of the log tail here.
    tail: Any = SimpleNamespace(caught_up=False, earliest_retained_at=1.0)
    membership = MemoryMembership(member, [member])
    return ClaimCoordinator(Kernel(clock), platform, tail, membership)


async def claim_from_router_b(coordinator: ClaimCoordinator) -> ClaimVerdict:
    """Claim the key from router `b`; return the verdict."""
    message = ClaimOrder(make_claim('b', make_key()), wait_seconds=0)
    reply = await coordinator.handle_claim(
        make_member('b', 'almelo').vm, message
    )
    return reply.verdict


@pytest.mark.parametrize('has_outcome', [False, True])
async def test_repeat_of_an_order_is_not_reported_as_not_run(
    coordinator: ClaimCoordinator,
    has_outcome: bool,
) -> None:
    """Guards against a caller that sends an order again after it was run.

    During an outage, the response to a repeat must not say "not run" if the
    key is known, with or without a recorded outcome.
    """
    key = make_key()
    first = make_claim('a', key)
    coordinator.index.apply(Offset(1), NOW, OrderBatch(claims=(first,)))
    if has_outcome:
        outcome = OrderOutcome(key, first.claim, known=True, status=201)
        coordinator.index.apply(Offset(2), NOW, OrderBatch(outcomes=(outcome,)))
    error = VERDICT_ERRORS[await claim_from_router_b(coordinator)]
    assert ERROR_RESPONSES[error].run is RunStatus.UNKNOWN


async def test_new_order_is_reported_as_not_run(
    coordinator: ClaimCoordinator,
) -> None:
    """Guards against an uncertain response to a new order in an outage.

    Its key has no record, so the order was certainly not run.
    """
    assert await claim_from_router_b(coordinator) is ClaimVerdict.UNAVAILABLE


async def test_restarted_coordinator_does_not_report_a_key_as_not_run(
    coordinator: ClaimCoordinator,
) -> None:
    """Guards against "not run" from a coordinator that has not read the log.

    Soak seed 307: a router restarted during an outage and reported "not run"
    for the repeat of an order that had been run.
    """
    tail: Any = SimpleNamespace(caught_up=False, earliest_retained_at=None)
    coordinator.tail = tail
    error = VERDICT_ERRORS[await claim_from_router_b(coordinator)]
    assert ERROR_RESPONSES[error].run is RunStatus.UNKNOWN
