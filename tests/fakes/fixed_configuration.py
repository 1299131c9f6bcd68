"""Configuration service with a configuration that the test sets."""

import hashlib
from collections.abc import Callable
from datetime import UTC, datetime

from pollenloom.configuration.account_entry import AccountEntry
from pollenloom.configuration.configuration import Configuration
from pollenloom.configuration.configuration_service import ConfigurationService
from pollenloom.configuration.route_entry import RouteEntry
from pollenloom.configuration.service_file import ServiceFile
from pollenloom.core.backend_server import BackendServer
from pollenloom.core.ids import (
    AccountId,
    DataCentreId,
    Revision,
    RouteId,
    ServiceId,
    VersionId,
)
from pollenloom.core.states import DataCentreState, Resource

KEY = 'key-of-cantel'
OTHER_KEY = 'key-of-almolonga'
MODEL = ServiceId('drafts')
APPLICATION = ServiceId('stitching')
# After the present for system clocks and for manual ones, which are in 1970.
SHUTDOWN = datetime(2100, 1, 1, tzinfo=UTC)


class FixedConfiguration(ConfigurationService):
    """Returns the same configuration until the test replaces it."""

    def __init__(self) -> None:
        self.configuration = make_configuration(SHUTDOWN)

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    @property
    def current(self) -> Configuration:
        """Configuration set by the test."""
        return self.configuration

    @property
    def is_complete(self) -> bool:
        """Whether the configuration has a revision above 0."""
        return bool(self.current.revision)

    def servers(self, service: ServiceId) -> tuple[BackendServer, ...]:
        """Returns none: the admission fake has the list of servers."""
        return ()

    def data_centre_state(self, data_centre: DataCentreId) -> DataCentreState:
        """Returns that every data centre is in service."""
        return DataCentreState.IN_SERVICE

    def set_data_centre_state(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> None:
        """Does nothing: data centres are always in service."""

    def watch(self, listener: Callable[[], None]) -> None:
        """Does nothing: the listener is never called."""


def make_configuration(shutdown_date: datetime) -> Configuration:
    """Return a model for two client accounts and an application for one."""
    cantel = make_account('cantel', KEY)
    almolonga = make_account('almolonga', OTHER_KEY)
    model = ServiceFile(
        service=MODEL,
        resource=Resource.MODEL,
        shutdown_date=shutdown_date,
        data_centres=(DataCentreId('salcaja'),),
        versions=(VersionId('v1'),),
        accounts=(cantel, almolonga),
    )
    application = ServiceFile(
        service=APPLICATION,
        resource=Resource.APPLICATION,
        shutdown_date=shutdown_date,
        data_centres=(DataCentreId('salcaja'),),
        versions=(VersionId('v1'),),
        accounts=(cantel,),
        routes=(
            RouteEntry(
                name=RouteId('lots'),
                path='/lots/*',
                methods=('GET', 'PUT'),
                repeatable=True,
                cost=2,
            ),
            RouteEntry(name=RouteId('root'), path='/', methods=('HEAD',)),
            RouteEntry(
                name=RouteId('orders'),
                path='/orders',
                methods=('POST', 'PUT'),
            ),
        ),
    )
    return Configuration(
        revision=Revision(1),
        services={MODEL: model, APPLICATION: application},
    )


def make_account(account: str, key: str) -> AccountEntry:
    """Return the entry of a client account with share 1 and one key."""
    return AccountEntry(
        name=AccountId(account),
        share=1,
        key_hashes=(hashlib.sha256(key.encode()).hexdigest(),),
    )
