"""Measures how late the event loop is."""

import asyncio
from typing import ClassVar, Final

from pollenloom.core.ids import VmId
from pollenloom.core.units import MILLISECONDS
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName
from pollenloom.observability.event_log import EventLog
from pollenloom.observability.event_name import EventName
from pollenloom.routing.overload_detector import OverloadDetector

TICK_SECONDS: Final = 0.05


class LoopMonitor(KernelService):
    """Feeds the overload guard; one task with a timer."""

    name: ClassVar[KernelServiceName] = KernelServiceName.LOOP_MONITOR

    def __init__(self, kernel: Kernel, vm: VmId) -> None:
        self.kernel = kernel
        self.vm = vm
        self.detector = OverloadDetector()

    async def start(self) -> None:
        """Start to measure."""
        self.events = self.kernel.find(KernelServiceName.EVENTS, EventLog)
        self.kernel.spawn('loop-monitor', self.run())

    async def stop(self) -> None:
        """Nothing beside the kernel's tasks."""

    async def run(self) -> None:
        """Measure until the kernel ends the task."""
        clock = self.kernel.clock
        while True:
            due = clock.monotonic() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            if self.detector.observe(max(0, clock.monotonic() - due)):
                self.tell()

    def tell(self) -> None:
        """Record that the router became overloaded, or recovered."""
        state = 'overloaded' if self.detector.is_overloaded else 'recovered'
        delay = round(self.detector.delay * MILLISECONDS)
        self.events.record(
            EventName.PROCESS_STATE,
            self.vm,
            state=state,
            detail=f'the event loop is late by {delay} ms',
        )
