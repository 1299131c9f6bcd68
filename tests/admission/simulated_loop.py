"""An event loop in simulated time, which advances to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from pollenloom.kernel.clock import Clock

ReturnT = TypeVar('ReturnT')


class SimulatedTimeSelector(selectors.SelectSelector):
    """Advances the simulated time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 1000

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError('deadlock: no task has a timer to wait for')
        self.now += max(0, timeout)
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Runs tasks in simulated time; the order of events is reproducible."""

    def __init__(self) -> None:
        self.selector = SimulatedTimeSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now


class LoopClock(Clock):
    """Clock that reads the time of the running event loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def uptime(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return asyncio.get_running_loop().time()


def simulate(coroutine: Coroutine[Any, Any, ReturnT]) -> ReturnT:
    """Run a coroutine in simulated time and return its result."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(coroutine)
