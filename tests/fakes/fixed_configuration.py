"""Configuration service whose configuration the test sets."""

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
# 2100-01-01; tests with a manual clock are in 1970.
SHUTDOWN = datetime(2100, 1, 1, tzinfo=UTC)


class FixedConfiguration(ConfigurationService):
    """Holds one configuration."""

    def __init__(self) -> None:
        self.configuration = make_configuration(SHUTDOWN)

    async def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        """Nothing to stop."""

    @property
    def current(self) -> Configuration:
        """Configuration set by the test."""
        return self.configuration

    @property
    def is_complete(self) -> bool:
        return bool(self.current.revision)

    def servers(self, service: ServiceId) -> tuple[BackendServer, ...]:
        """No servers: the admission of the test knows them."""
        return ()

    def data_centre_state(self, data_centre: DataCentreId) -> DataCentreState:
        """Always in service."""
        return DataCentreState.IN_SERVICE

    def set_data_centre_state(
        self,
        data_centre: DataCentreId,
        state: DataCentreState,
    ) -> None:
        """Not used."""

    def watch(self, listener: Callable[[], None]) -> None:
        """Nothing changes."""


def make_configuration(shutdown_date: datetime) -> Configuration:
    """Return a model that both accounts use and an application of one."""
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
    """Return an account entry with one key."""
    return AccountEntry(
        name=AccountId(account),
        share=1,
        key_hashes=(hashlib.sha256(key.encode()).hexdigest(),),
    )
