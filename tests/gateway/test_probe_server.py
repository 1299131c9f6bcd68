"""Readiness and metrics endpoints of a router."""

import asyncio

from pollenloom.gateway.gateway_server import GatewayServer
from pollenloom.gateway.probe_server import ProbeServer
from pollenloom.kernel.kernel import Kernel
from pollenloom.kernel.kernel_service_name import KernelServiceName
from tests.gateway.conftest import CallerConnection, RouterEnvironment


async def fetch(
    environment: RouterEnvironment, target: str, listener: int
) -> tuple[int, bytes]:
    """Send a GET request to a listener; return status and body."""
    probes = environment.kernel.find(KernelServiceName.PROBES, ProbeServer)
    host, port = probes.acceptors[listener].listener.getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    environment.stack.callback(writer.close)
    response = await CallerConnection(reader, writer).fetch(
        target, method='GET'
    )
    return response.status, response.body


async def test_router_is_ready_after_reading_the_store(
    environment: RouterEnvironment,
) -> None:
    """Guards against a router that stays unready with a configuration."""
    await environment.ready(0)
    assert (await fetch(environment, '/readyz', 0))[0] == 200


async def test_draining_router_is_not_ready(
    environment: RouterEnvironment,
) -> None:
    """Guards against new callers being sent to a router that stops."""
    await environment.ready(0)
    draining = asyncio.ensure_future(environment.kernel.drain(10))
    await asyncio.sleep(0.05)
    assert (await fetch(environment, '/readyz', 0))[0] == 503
    await draining


async def test_metrics_are_served(environment: RouterEnvironment) -> None:
    """Guards against a metrics endpoint without the router's metrics."""
    await environment.ready(0)
    status, body = await fetch(environment, '/metrics', 1)
    assert status == 200
    assert b'pollenloom_requests' in body


def test_router_that_starts_is_not_ready() -> None:
    """Guards against a probe without an answer while services start.

    The probe's task failed, and the balancer waited for its time limit.
    """
    assert not GatewayServer(Kernel(), '127.0.0.1:0').is_ready
