"""Graceful shutdown of the order coordinator."""

import asyncio

import pytest

from pollenloom.kernel.kernel import Kernel
from pollenloom.observability.event_log import EventLog
from pollenloom.orders import order_coordinator

WAIT_SECONDS = 20


async def test_drain_gives_up_on_records_during_an_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a shutdown that waits for the end of a platform outage.

    Records of finished orders that the log does not accept in time must be
    cancelled, with one event for each lost record.
    """
    monkeypatch.setattr(order_coordinator, 'DRAIN_SECONDS', 0.01)
    kernel = Kernel()
    coordinator = order_coordinator.OrderCoordinator(kernel)
    coordinator.events = EventLog(kernel.clock)
    record = asyncio.create_task(asyncio.Event().wait(), name='key-1')
    coordinator.concluding.add(record)  # type: ignore[arg-type]
    async with asyncio.timeout(WAIT_SECONDS):
        await coordinator.drain()
    await asyncio.wait({record})
    assert record.cancelled()
    lost = [event.subject for event in coordinator.events.events]
    assert lost == ['key-1']
