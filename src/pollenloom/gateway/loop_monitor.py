"""Measures the delay of the event loop."""

import asyncio
from typing import ClassVar, Final

from pollenloom.core.ids import VmId
from pollenloom.core.units import MILLISECONDS_PER_SECOND
from pollenloom.gateway.request_intake import RequestIntake
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.routing.overload_detector import OverloadDetector

SAMPLE_INTERVAL_SECONDS: Final = 0.05
# A process needs longer to end and to start again. The time for which the
# machine was suspended counts.
PAUSE_SECONDS: Final = 0.5


class LoopMonitor(KernelService):
    """Reports delays to the overload detector.

    These are the delay of a periodic timer and the wait of requests that did
    not begin yet.

    Attributes:
        intake: Requests that wait to begin.
        largest_delay: Largest delay since it was last taken, seconds.
        pause_ended_at: When the event loop last ran again after a pause,
            monotonic seconds.
    """

    name: ClassVar[KernelServiceName] = KernelServiceName.LOOP_MONITOR

    def __init__(self, kernel: Kernel, vm: VmId) -> None:
        self.kernel = kernel
        self.vm = vm
        self.detector = OverloadDetector()
        self.intake = RequestIntake()
        self.largest_delay: float = 0
        self.pause_ended_at = float('-inf')

    async def start(self) -> None:
        """Start the measuring task."""
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        self.kernel.spawn('loop-monitor', self.run())

    async def stop(self) -> None:
        """Do nothing; the kernel ends the measuring task."""

    async def run(self) -> None:
        """Measure periodically until the kernel ends the task."""
        clock = self.kernel.clock
        while True:
            due = clock.monotonic() + SAMPLE_INTERVAL_SECONDS
            pause_begins_at = clock.uptime() + PAUSE_SECONDS
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
            wait = self.intake.take_longest_wait()
            now = clock.monotonic()
            if clock.uptime() >= pause_begins_at:
                self.pause_ended_at = now
            delay = max(0, now - due, wait)
            self.largest_delay = max(self.largest_delay, delay)
            if self.detector.observe(delay):
                self.record_state()

    def has_paused_since(self, earliest: float) -> bool:
        """Whether a pause has ended since a monotonic time in seconds."""
        return self.pause_ended_at >= earliest

    def take_largest_delay(self) -> float:
        """Return the largest delay since the last call, seconds."""
        largest = self.largest_delay
        self.largest_delay = 0
        return largest

    def record_state(self) -> None:
        """Record that the router became overloaded, or recovered."""
        state = 'overloaded' if self.detector.is_overloaded else 'recovered'
        delay = round(self.detector.delay * MILLISECONDS_PER_SECOND)
        self.events.record(
            EventName.PROCESS_STATE,
            self.vm,
            state=state,
            detail=f'event loop delay is {delay} ms',
        )
