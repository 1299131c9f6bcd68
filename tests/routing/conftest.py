"""Fixtures of the routing tests."""

import pytest

from pollenloom.core.ids import DataCentreId, ServerId, ServiceId, VersionId
from pollenloom.routing.server_directory import ServerDirectory
from pollenloom.routing.server_entry import ServerEntry
from pollenloom.routing.service_profile import ServiceProfile

SERVICE = ServiceId('answers')


@pytest.fixture
def entry() -> ServerEntry:
    """A warm server that is registered as ready."""
    return ServerEntry(
        server=ServerId('i-1'),
        service=SERVICE,
        address='10.0.0.1:8080',
        data_centre=DataCentreId('enschede'),
        version=VersionId('v1'),
        slots=4,
        is_leaving=False,
        cold_seconds=0,
        started_at=100,
    )


@pytest.fixture
def directory() -> ServerDirectory:
    """An empty directory; servers of the service are cold for 3 s."""
    directory = ServerDirectory()
    directory.configure(
        {SERVICE: ServiceProfile(SERVICE, 3, 14)},
    )
    return directory
