"""Time limits that a planned stop brings forward."""

import asyncio

import pytest

from pollenloom.frontend.stop_limits import StopLimits
from pollenloom.frontend.stop_plan import StopPlan
from pollenloom.kernel.clock import Clock


async def test_stop_ends_a_running_scope() -> None:
    """Guards against requests that began before the stop and are cut."""
    limits = StopLimits(Clock())
    now = limits.clock.monotonic()
    waiting = asyncio.Event()

    async def run() -> None:
        async with limits.until(lambda plan: min(plan.ends_at, now + 60)):
            await waiting.wait()

    running = asyncio.ensure_future(run())
    await asyncio.sleep(0)
    assert not running.done()
    limits.begin(StopPlan(now, now))
    with pytest.raises(TimeoutError):
        await running
    assert not limits.limits


async def test_scope_that_ends_in_time_is_not_limited() -> None:
    """Guards against a limit that reaches what follows its scope."""
    limits = StopLimits(Clock())
    async with limits.until(lambda plan: plan.ends_at):
        await asyncio.sleep(0)
    now = limits.clock.monotonic()
    limits.begin(StopPlan(now, now))
    await asyncio.sleep(0.01)
