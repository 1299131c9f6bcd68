"""Entries of a configuration with the places where they were found."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique

from pollenloom.core.ids import AccountId
from pollenloom.routing.route import Route
from pollenloom.routing.routing_configuration import RoutingConfiguration
from pollenloom.routing.service_profile import ServiceProfile


@unique
class EntryField(Enum):
    """Fields of entries that findings name."""

    HOST = 'host'
    PREFIX = 'prefix'
    KIND = 'kind'
    TIMEOUT = 'timeout'
    OBJECTIVE = 'objective'
    RESUMABLE = 'resumable'
    COLD_RATE = 'cold_rate'
    SCALING = 'scaling'
    HEADER_BYTES = 'header_bytes'
    BODY_BYTES = 'body_bytes'
    HEADER_SECONDS = 'header_seconds'
    IDLE_SECONDS = 'idle_seconds'


@dataclass(frozen=True, slots=True)
class RoutePlace:
    """A route.

    Attributes:
        path: Path of the entry.
        route: The route.
        service_paths: Path of each service of the route.
        is_known_kind: Whether its type is one that routers know.
    """

    path: str
    route: Route
    service_paths: tuple[str, ...]
    is_known_kind: bool


@dataclass(frozen=True, slots=True)
class ServicePlace:
    """A service, at the path of its entry."""

    path: str
    profile: ServiceProfile


@dataclass(frozen=True, slots=True)
class AccountPlace:
    """A client account, at the path of its entry.

    Attributes:
        path: Path of the entry.
        account: The account.
        keys: Its API keys with the path of each.
    """

    path: str
    account: AccountId
    keys: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ConfigurationEntries:
    """All entries of a valid configuration, in the order of the file.

    Attributes:
        configuration: The configuration as routers use it.
        routes: Routes.
        services: Services.
        accounts: Client accounts.
        limits_path: Path of the limits on callers.
        revision_path: Path of the number of the configuration.
        names: Name of each field below its entry.
    """

    configuration: RoutingConfiguration
    routes: tuple[RoutePlace, ...]
    services: tuple[ServicePlace, ...]
    accounts: tuple[AccountPlace, ...]
    limits_path: str
    revision_path: str
    names: Mapping[EntryField, str]

    def field_path(self, path: str, entry_field: EntryField) -> str:
        """Return the path of a field of an entry."""
        return f'{path}.{self.names[entry_field]}'
