"""Failures of admission over one to eight routers."""

import asyncio

import pytest

from tests.admission.fake_fleet import FakeFleet
from tests.admission.simulated_loop import simulate


@pytest.mark.parametrize('routers', [1, 3, 8])
def test_requests_get_grants(routers: int) -> None:
    """Guards against a fleet that grants nothing or leaks slots."""

    async def scenario() -> None:
        fleet = FakeFleet()
        engine = fleet.add_server('s1', slots=4)
        for number in range(routers):
            await fleet.add_router(f'r{number}')
        for _ in range(5):
            for router in fleet.routers.values():
                assert await fleet.serve(router, 'small', 10)
        for router in fleet.routers.values():
            fleet.flood(router, 'small')
        await asyncio.sleep(10)
        assert engine.peak == 4
        assert fleet.served['small'] >= 0.9 * 4 * 10_000
        await fleet.stop()

    simulate(scenario())
