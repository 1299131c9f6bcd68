"""Pauses of a router."""

import asyncio

import pytest

from pollenloom.core.ids import VmId
from pollenloom.gateway.loop_monitor import PAUSE_SECONDS, LoopMonitor
from pollenloom.kernel.kernel import Kernel
from pollenloom.observability.event_log import EventLog
from tests.manual_clock import ManualClock

KEPT_EVENTS = 10
SAMPLE_SECONDS = 0.1


class SuspendedClock(ManualClock):
    """A clock of a machine that can be suspended.

    Attributes:
        suspended_seconds: How long it was suspended.
    """

    def __init__(self) -> None:
        super().__init__()
        self.suspended_seconds: float = 0

    def uptime(self) -> float:
        """Seconds since the machine started, with its suspensions."""
        return self.monotonic() + self.suspended_seconds


@pytest.mark.parametrize(
    ('suspended_seconds', 'has_paused'),
    [(0, False), (PAUSE_SECONDS / 2, False), (PAUSE_SECONDS, True)],
)
async def test_suspension_of_the_machine_is_a_pause(
    suspended_seconds: float, has_paused: bool
) -> None:
    """Guards against servers that are replaced while their router sleeps.

    Monotonic time does not count a suspension.
    """
    clock = SuspendedClock()
    kernel = Kernel(clock)
    kernel.register(EventLog(clock, KEPT_EVENTS))
    monitor = LoopMonitor(kernel, VmId('edge-1'))
    kernel.register(monitor)
    await kernel.start()
    await asyncio.sleep(0)
    clock.suspended_seconds = suspended_seconds
    await asyncio.sleep(SAMPLE_SECONDS)
    now = clock.monotonic()
    assert monitor.has_paused_since(now) is has_paused
    assert not monitor.has_paused_since(now + 1)
    await kernel.stop()
