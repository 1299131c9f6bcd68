"""Fencing numbers between the pool owner and an engine."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AsyncExitStack

import pytest

from pollenloom.admission.engine_reports.http_engine_reports import (
    HttpEngineReports,
)
from pollenloom.core.caller_request import CallerRequest
from pollenloom.core.ids import AccountId, RequestId, RouteId
from pollenloom.core.states import Resource
from pollenloom.dispatch.dispatcher import Dispatcher
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.metrics import Metrics
from pollenloom_standins.backend.fencing import FencingMode
from pollenloom_standins.commands.engine_command import EngineCommand
from tests.admission.fake_fleet import FakeFleet, FakeRouter
from tests.admission.fake_settings import ENSCHEDE, SERVICE, make_settings
from tests.admission.simulated_loop import LoopClock
from tests.standin_runner import RunningStandin, run_standin

FORMER_NUMBER = 40
WAIT_SECONDS = 30
BODY = b'{"model": "minutes", "prompt": "draft [tokens=4]"}'

StartEngine = Callable[[FencingMode], Awaitable[RunningStandin]]
StartRouter = Callable[[Sequence[KernelService]], Awaitable[FakeRouter]]


@pytest.fixture
async def start_engine() -> AsyncIterator[StartEngine]:
    """Starts an engine that has received a former owner's number."""
    async with AsyncExitStack() as stack:

        async def start(mode: FencingMode) -> RunningStandin:
            command = EngineCommand(token_ms=1, fencing=mode)
            engine = await stack.enter_async_context(run_standin(command))
            await engine.set_faults(load_lag_seconds=0)
            response = await engine.post(
                '/v1/completions',
                {'model': 'minutes', 'prompt': 'draft [tokens=4]'},
                X_Fencing_Number=str(FORMER_NUMBER),
            )
            assert response.status == 200
            return engine

        yield start


@pytest.fixture
async def start_router(fleet: FakeFleet) -> AsyncIterator[StartRouter]:
    """Starts the router that owns the pool, on a real event loop."""

    async def start(services: Sequence[KernelService]) -> FakeRouter:
        events = EventLog(LoopClock())
        return await fleet.add_router(
            'r1',
            services=(events, Metrics(), *services),
        )

    yield start
    await fleet.stop()


async def call(router: FakeRouter) -> int:
    """Send a request through the dispatcher; return the response status."""
    settings = make_settings(router.peers.vm, ENSCHEDE, FakeFleet().admission)
    dispatcher = Dispatcher.from_config(router.kernel, settings)
    await dispatcher.start()
    request = CallerRequest(
        request_id=RequestId('request-1'),
        account=AccountId('small'),
        service=SERVICE,
        route=RouteId('completions'),
        resource=Resource.MODEL,
        cost_hint=4,
        deadline=asyncio.get_running_loop().time() + WAIT_SECONDS,
        repeatable=True,
        method='POST',
        path='/v1/completions',
        headers={'content-type': 'application/json'},
        body=BODY,
    )
    response = await dispatcher.call(request)
    await dispatcher.stop()
    assert response.is_ok(), response.error
    return response.ok.status


@pytest.mark.parametrize('reads_reports', [True, False])
async def test_owner_exceeds_the_number_of_an_engine(
    fleet: FakeFleet,
    start_engine: StartEngine,
    start_router: StartRouter,
    reads_reports: bool,
) -> None:
    """Guards against an owner that engines refuse forever.

    The engine has received a higher fencing number, which the owner learns
    from load reports or from refusals.
    """
    engine = await start_engine(FencingMode.REFUSE)
    fleet.add_server('s1', address=engine.address)
    services = (HttpEngineReports(),) if reads_reports else ()
    router = await start_router(services)
    allocators = router.allocator_admission.owners.allocators.values()
    epochs = [allocator.epoch for allocator in allocators]
    assert max(epochs) < FORMER_NUMBER
    async with asyncio.timeout(WAIT_SECONDS):
        while max(epochs) <= FORMER_NUMBER and reads_reports:
            await asyncio.sleep(0.01)
            epochs = [allocator.epoch for allocator in allocators]
    assert await call(router) == 200
    runs = (await engine.get('/control/history'))['runs']
    assert [run['fencing_number'] for run in runs][1] > FORMER_NUMBER


async def test_fencing_refusal_does_not_lower_the_limit(
    fleet: FakeFleet,
    start_engine: StartEngine,
    start_router: StartRouter,
) -> None:
    """Guards against a limit that drops on refused fencing numbers."""
    engine = await start_engine(FencingMode.REFUSE)
    fleet.add_server('s1', address=engine.address)
    router = await start_router(())
    allocator = next(
        iter(router.allocator_admission.owners.allocators.values())
    )
    state = next(iter(allocator.servers))
    assert await call(router) == 200
    assert state.ramp.limit == state.ramp.slots
    assert not state.ramp.cold
