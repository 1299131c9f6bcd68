"""Pool servers that are replaced or report their load."""

from dataclasses import replace

import pytest

from pollenloom.admission.pool_servers import PoolServers
from pollenloom.admission.server_ramp import ServerRamp, ServerResponse
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import DataCentreId, ServerId, ServiceId, VersionId
from pollenloom.core.states import Outcome

SLOTS = 8
SERVER = BackendServer(
    server=ServerId('s1'),
    service=ServiceId('answers'),
    data_centre=DataCentreId('almelo'),
    version=VersionId('v1'),
    address='127.0.0.1:1',
    slots=SLOTS,
    cold_slots=1,
)


def serve(ramp: ServerRamp, count: int) -> None:
    """Record good responses."""
    response = ServerResponse(outcome=Outcome.SERVED, granted_at=10)
    for _ in range(count):
        ramp.record(response, 10)


@pytest.fixture
def servers() -> PoolServers:
    """A pool with one server."""
    pool = PoolServers(ramp=True)
    pool.replace((SERVER,), (), 0)
    return pool


def ramp_of(servers: PoolServers) -> ServerRamp:
    return servers.servers[SERVER.server].ramp


def test_restarted_server_starts_cold(servers: PoolServers) -> None:
    """Guards against a new process that gets the load of the old one.

    The server keeps its id but has a new address.
    """
    serve(ramp_of(servers), 100)
    assert ramp_of(servers).limit == SLOTS
    servers.replace((replace(SERVER, address='127.0.0.1:2'),), (), 20)
    assert ramp_of(servers).limit == 1


def test_reported_cold_server_stays_at_its_cold_slots(
    servers: PoolServers,
) -> None:
    """Guards against a limit above `cold_slots` while the server is cold.

    A cold server responds well up to its cold slots, and each overload makes
    its cold start longer.
    """
    ramp = ramp_of(servers)
    ramp.apply_load_report(9, cold=True)
    serve(ramp, 100)
    assert ramp.limit == 1
    ramp.apply_load_report(9.5, cold=False)
    serve(ramp, 100)
    assert ramp.limit == SLOTS


def test_new_server_waits_for_its_first_report() -> None:
    """Guards against a limit that rises before the first load report."""
    servers = PoolServers(ramp=True)
    servers.has_load_reports = True
    servers.replace((SERVER,), (), 0)
    serve(ramp_of(servers), 100)
    assert ramp_of(servers).limit == 1
    # A server that does not report is evaluated by its responses alone.
    ramp_of(servers).apply_load_report(10, cold=None)
    serve(ramp_of(servers), 100)
    assert ramp_of(servers).limit == SLOTS
