"""Registry, life cycle and task supervision of one router process."""

import asyncio
import math
from collections.abc import Coroutine
from typing import Any, TypeVar

from absl import logging

from pollenloom.kernel.clock import Clock
from pollenloom.kernel.kernel_phase import KernelPhase
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName

ServiceT = TypeVar('ServiceT', bound=KernelService)


class Kernel:
    """Holds the services of a process under their names.

    Services start in the order of their registration. On shutdown all are
    drained in reverse order before any of them is stopped, since an accepted
    request still needs the services that the front end depends on.

    Attributes:
        clock: Clock of the process.
        services: Registered services by name, in order of registration.
        tasks: Running tasks of the services.
        started: Services that have started, in order.
        phase: Current phase of the life cycle.
        drain_ends_at: Monotonic time in seconds at which the drain must be
            over; infinite before it begins.
        has_cut_work: Whether a service ended accepted work early in the drain.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()
        self.services: dict[KernelServiceName, KernelService] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.started: list[KernelService] = []
        self.phase = KernelPhase.STARTING
        self.drain_ends_at = math.inf
        self.has_cut_work = False

    def register(self, service: KernelService) -> None:
        """Add a service.

        Raises:
            ValueError: If a service of that name is registered.
        """
        if service.name in self.services:
            raise ValueError(f'service {service.name.value} registered twice')
        self.services[service.name] = service

    def find(
        self,
        name: KernelServiceName,
        service_type: type[ServiceT],
    ) -> ServiceT:
        """Return the service of that name.

        Raises:
            LookupError: If there is none, or it has another type.
        """
        service = self.services.get(name)
        if not isinstance(service, service_type):
            raise LookupError(f'no {service_type.__name__} named {name.value}')
        return service

    def spawn(
        self,
        task_name: str,
        coroutine: Coroutine[Any, Any, None],
    ) -> asyncio.Task[None]:
        """Run a task until it ends or the kernel stops.

        An exception that escapes the task is logged and ends only that task.
        """
        task = asyncio.get_running_loop().create_task(
            coroutine,
            name=task_name,
        )
        self.tasks.add(task)
        task.add_done_callback(self.task_ended)
        return task

    async def start(self) -> None:
        """Start all services; on a failure stop those already started."""
        for service in self.services.values():
            try:
                await service.start()
            except BaseException:
                await self.stop()
                raise
            self.started.append(service)
        self.phase = KernelPhase.RUNNING

    async def drain(self, timeout_seconds: float) -> bool:
        """Announce the shutdown and let all services finish accepted work.

        Returns:
            Whether all work was finished within the timeout.
        """
        self.phase = KernelPhase.DRAINING
        self.drain_ends_at = self.clock.monotonic() + timeout_seconds
        try:
            async with asyncio.timeout(timeout_seconds):
                for service in self.started:
                    await service.leave()
                for service in reversed(self.started):
                    await service.drain()
        except TimeoutError:
            return False
        return not self.has_cut_work

    async def stop(self) -> None:
        """Stop all services in reverse order, then end their tasks."""
        self.phase = KernelPhase.STOPPED
        while self.started:
            await self.started.pop().stop()
        remaining = tuple(self.tasks)
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)

    def task_ended(self, task: asyncio.Task[None]) -> None:
        """Discard an ended task and log its exception, if any."""
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logging.error(
                'task_failed %s',
                task.get_name(),
                exc_info=error,
            )
