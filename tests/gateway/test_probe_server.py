"""Readiness and metrics of a node."""

import asyncio

from pollenloom.gateway.probe_server import ProbeServer
from pollenloom.kernel.kernel_service_name import KernelServiceName
from tests.gateway.conftest import CallerConnection, Site


async def ask(site: Site, target: str, listener: int) -> tuple[int, bytes]:
    """Ask one of the listeners; return status and body."""
    probes = site.kernel.find(KernelServiceName.PROBES, ProbeServer)
    host, port = probes.servers[listener].sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    site.stack.callback(writer.close)
    answer = await CallerConnection(reader, writer).ask(target, method='GET')
    return answer.status, answer.body


async def test_router_is_ready_once_it_has_read_the_store(site: Site) -> None:
    """Guards against callers at a router that knows no configuration."""
    await site.ready(0)
    assert (await ask(site, '/readyz', 0))[0] == 200


async def test_router_that_drains_is_not_ready(site: Site) -> None:
    """Guards against new callers at a router that stops."""
    await site.ready(0)
    draining = asyncio.ensure_future(site.kernel.drain(10))
    await asyncio.sleep(0.05)
    assert (await ask(site, '/readyz', 0))[0] == 503
    await draining


async def test_metrics_are_served(site: Site) -> None:
    """Guards against a metrics address that serves nothing."""
    await site.ready(0)
    status, body = await ask(site, '/metrics', 1)
    assert status == 200
    assert b'pollenloom_requests' in body
