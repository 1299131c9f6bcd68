"""Tests of admission on one router, with its services."""

import pytest

from pollenloom.admission.settlement import Settlement
from pollenloom.admission.ticket import Ticket
from pollenloom.core.ids import AccountId, RequestId, RouteId
from pollenloom.core.states import Outcome, Resource
from tests.admission.local_fleet import SERVICE, LocalFleet
from tests.admission.simulated_loop import simulate

SHOP = AccountId('shop')
COST = 5000


async def usage_after(outcome: Outcome) -> float:
    """Return the usage after one request that got no first byte."""
    fleet = LocalFleet(routers=1, engines=1, slots=4)
    await fleet.start()
    admission = fleet.admissions[0]
    ticket = Ticket(
        request_id=RequestId('a1'),
        account=SHOP,
        service=SERVICE,
        route=RouteId('r'),
        resource=Resource.MODEL,
        cost_hint=COST,
        deadline=admission.kernel.clock.monotonic() + 10,
        objective=0.5,
        prompt_tokens=COST,
    )
    acquired = await admission.acquire(ticket)
    admission.settle(Settlement(grant=acquired.ok, outcome=outcome))
    usage = admission.pool(SERVICE).backlog.usage.total(SHOP)
    await fleet.stop()
    return usage


@pytest.mark.parametrize(
    'outcome', [Outcome.FAILED, Outcome.REFUSED, Outcome.UNUSED]
)
def test_request_that_did_not_begin_is_not_charged(outcome: Outcome) -> None:
    """Guards against accounts held back for what failing servers lost."""
    assert not simulate(usage_after(outcome))


def test_request_that_its_caller_gave_up_is_charged() -> None:
    """Guards against callers that use servers for nothing by leaving early."""
    assert simulate(usage_after(Outcome.CANCELLED)) == pytest.approx(COST)
