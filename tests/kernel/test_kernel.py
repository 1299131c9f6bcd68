"""Registry and life cycle of the kernel."""

from typing import ClassVar

import pytest

from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service import KernelService
from pollenloom.kernel.kernel_service_name import KernelServiceName


class RecordingService(KernelService):
    """Appends the calls of its life cycle to a list of the test."""

    name: ClassVar[KernelServiceName] = KernelServiceName.PEERS

    def __init__(self, calls: list[str], fails: bool = False) -> None:
        self.calls = calls
        self.fails = fails

    async def start(self) -> None:
        if self.fails:
            raise OSError('address in use')
        self.calls.append(f'start {self.name.value}')

    async def leave(self) -> None:
        self.calls.append(f'leave {self.name.value}')

    async def drain(self) -> None:
        self.calls.append(f'drain {self.name.value}')

    async def stop(self) -> None:
        self.calls.append(f'stop {self.name.value}')


class RecordingFrontend(RecordingService):
    """Second service, registered after the first."""

    name: ClassVar[KernelServiceName] = KernelServiceName.FRONTEND


@pytest.fixture
def calls() -> list[str]:
    return []


async def test_all_services_drain_before_any_stops(calls: list[str]) -> None:
    """Guards against cutting requests that still need another service."""
    kernel = Kernel()
    kernel.register(RecordingService(calls))
    kernel.register(RecordingFrontend(calls))
    await kernel.start()
    assert await kernel.drain(timeout_seconds=1)
    await kernel.stop()
    assert calls == [
        'start peers',
        'start frontend',
        'leave peers',
        'leave frontend',
        'drain frontend',
        'drain peers',
        'stop frontend',
        'stop peers',
    ]


async def test_failed_start_stops_started_services(calls: list[str]) -> None:
    """Guards against a failed start that leaves services running."""
    kernel = Kernel()
    kernel.register(RecordingService(calls))
    kernel.register(RecordingFrontend(calls, fails=True))
    with pytest.raises(OSError, match='address in use'):
        await kernel.start()
    assert calls == ['start peers', 'stop peers']


def test_find_rejects_missing_and_wrong_type(calls: list[str]) -> None:
    """Guards against a service that calls another one of the wrong type."""
    kernel = Kernel()
    kernel.register(RecordingService(calls))
    with pytest.raises(LookupError, match='peers'):
        kernel.find(KernelServiceName.PEERS, RecordingFrontend)
    with pytest.raises(LookupError, match='orders'):
        kernel.find(KernelServiceName.ORDERS, RecordingService)


def test_names_are_unique(calls: list[str]) -> None:
    """Guards against a service that silently replaces another one."""
    kernel = Kernel()
    kernel.register(RecordingService(calls))
    with pytest.raises(ValueError, match='registered twice'):
        kernel.register(RecordingService(calls))
