"""Limits and early rejections of a router's queues, and the policies."""

import asyncio

import pytest

from pollenloom.admission.ticket import Ticket
from pollenloom.admission.waiting_queue import WaitingQueue, WaitingRequest
from pollenloom.core.error_kind import ErrorKind
from pollenloom.core.failure import Failure
from pollenloom.core.ids import (
    AccountId,
    PoolId,
    RequestId,
    RouteId,
    ServerId,
)
from pollenloom.core.states import Resource
from pollenloom.settings.router_settings import AdmissionSettings
from tests.admission.fake_fleet import FakeFleet
from tests.admission.fake_settings import SERVICE
from tests.admission.simulated_loop import simulate

SERVER = ServerId('s1')


@pytest.fixture
def queue() -> WaitingQueue:
    """A queue with ten requests that is served four times a second."""
    queue = WaitingQueue()
    for _ in range(50):
        queue.add(request(1000), 0)
    for number in range(40):
        queue.take(SERVER, number / 4)
    return queue


def request(deadline: float) -> WaitingRequest:
    ticket = Ticket(
        request_id=RequestId('1'),
        account=AccountId('small'),
        service=SERVICE,
        route=RouteId('chat'),
        resource=Resource.MODEL,
        cost_hint=1,
        deadline=deadline,
    )
    return WaitingRequest(ticket, 0, PoolId('p'))


def rejection(queue: WaitingQueue, deadline: float, limit: int) -> Failure:
    offered = queue.offer(request(deadline), limit, now=10)
    assert offered.is_error()
    return offered.error


def test_rejections_state_when_to_retry(queue: WaitingQueue) -> None:
    """Guards against requests that wait in vain, and wrong retry times."""
    full = rejection(queue, 70, limit=10)
    assert full.kind is ErrorKind.QUEUE_FULL
    assert full.retry_after_seconds == pytest.approx(0.25, 0.2)
    late = rejection(queue, 11, limit=64)
    assert late.kind is ErrorKind.DEADLINE_UNREACHABLE
    assert late.retry_after_seconds == pytest.approx(1.75, 0.3)
    assert queue.offer(request(15), 64, now=10).is_ok()


def test_expired_and_cancelled_calls_release_everything(
    fleet: FakeFleet,
) -> None:
    """Guards against ended requests that stay queued or keep a grant."""

    async def scenario() -> None:
        engine = fleet.add_server('s1', slots=1, cold_slots=1)
        router = await fleet.add_router('r0')
        fleet.flood(router, 'small', lambda: 5000, callers=1)
        await asyncio.sleep(1)
        ticket = fleet.ticket('large', wait_seconds=1)
        result = await router.admission.acquire(ticket)
        assert result.is_error()
        assert result.error.kind is ErrorKind.DEADLINE_EXCEEDED
        call = asyncio.create_task(fleet.serve(router, 'large', 10))
        await asyncio.sleep(0.5)
        call.cancel()
        await asyncio.sleep(0.5)
        now = asyncio.get_running_loop().time()
        assert router.admission.status(now).waiting == 0
        assert engine.in_flight == 1
        await fleet.stop()

    simulate(scenario())


def test_unused_grant_delays_no_later_request(fleet: FakeFleet) -> None:
    """Guards against a server left idle after a grant was not used.

    A cancelled request leaves its grant unused, which must not keep the
    router from using the server for the next request.
    """

    async def scenario() -> None:
        fleet.add_server('s1')
        for name in ('r0', 'r1', 'r2'):
            await fleet.add_router(name)
        await asyncio.sleep(1)
        for router in fleet.routers.values():
            call = asyncio.create_task(fleet.serve(router, 'small', 10))
            await asyncio.sleep(0.0005)
            call.cancel()
            # The grant arrives, finds no request and is released.
            await asyncio.sleep(0.003)
            result = await router.admission.acquire(
                fleet.ticket('small', wait_seconds=0.01),
            )
            assert result.is_ok()
        await fleet.stop()

    simulate(scenario())


@pytest.mark.parametrize(
    ('policy', 'peak'),
    [
        ('allocator', 4),
        ('server_owner', 4),
        ('static_division', 1),
        ('counter_exchange', 4),
        ('round_robin', 20),
    ],
)
def test_policies_under_a_flood_of_one_router(policy: str, peak: int) -> None:
    """Guards against policies that use more or fewer slots than defined."""
    settings = AdmissionSettings.model_validate(
        {'policy': policy, 'routers': 4},
    )

    async def scenario() -> None:
        fleet = FakeFleet(admission=settings)
        engine = fleet.add_server('s1')
        for name in ('r0', 'r1', 'r2', 'r3'):
            await fleet.add_router(name)
        fleet.flood(fleet.routers[next(iter(fleet.routers))], 'small')
        await asyncio.sleep(3)
        assert engine.peak == peak
        await fleet.stop()

    simulate(scenario())
