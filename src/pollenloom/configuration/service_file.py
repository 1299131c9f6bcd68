"""Service file, which is kept with the code of a service."""

from collections import Counter
from functools import cached_property
from typing import Annotated, Self

from pydantic import (
    AwareDatetime,
    BaseModel,
    ConfigDict,
    Field,
    model_validator,
)

from pollenloom.configuration.account_entry import NAME_PATTERN, AccountEntry
from pollenloom.configuration.move_entry import MoveEntry
from pollenloom.configuration.route_entry import RouteEntry
from pollenloom.core.ids import DataCentreId, ServiceId, VersionId
from pollenloom.core.states import Resource

VERSION_PATTERN = '^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'

DataCentreName = Annotated[DataCentreId, Field(pattern=NAME_PATTERN)]
VersionName = Annotated[VersionId, Field(pattern=VERSION_PATTERN)]


class ServiceFile(BaseModel):
    """Configuration of one service, written by its operators.

    Attributes:
        service: Id of the service; for a model also the model's name.
        resource: Resource it consumes.
        shutdown_date: Time from which all its requests are rejected.
        data_centres: Data centres that serve it.
        versions: Versions whose backend servers may receive requests.
        cross_data_centre: Whether capacity in other data centres may be used.
        deduplicates: Whether its backend servers check idempotency keys
            themselves.
        accounts: Client accounts that may use it.
        routes: Routes of an application; a model has none.
        move: Version move in progress, if any.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    service: ServiceId = Field(pattern=NAME_PATTERN)
    resource: Resource
    shutdown_date: AwareDatetime
    data_centres: tuple[DataCentreName, ...] = Field(min_length=1)
    versions: tuple[VersionName, ...] = Field(min_length=1)
    cross_data_centre: bool = True
    deduplicates: bool = False
    accounts: tuple[AccountEntry, ...] = Field(min_length=1)
    routes: tuple[RouteEntry, ...] = ()
    move: MoveEntry | None = None

    @model_validator(mode='after')
    def check_consistency(self) -> Self:
        """Reject duplicate accounts, missing routes and unknown versions."""
        counts = Counter(account.name for account in self.accounts)
        duplicates = sorted(name for name, count in counts.items() if count > 1)
        if duplicates:
            raise ValueError(f'accounts listed twice: {", ".join(duplicates)}')
        if self.resource is Resource.APPLICATION and not self.routes:
            raise ValueError('an application needs at least one route')
        if self.move is None:
            return self
        for version in (self.move.from_version, self.move.to_version):
            if version not in self.versions:
                raise ValueError(f'move names unknown version {version!r}')
        return self

    def find_route(self, method: str, path: str) -> RouteEntry | None:
        """Return the first route that matches a call, or None."""
        for route in self.routes:
            if route.matches(method, path):
                return route
        return None

    def find_account(self, name: str) -> AccountEntry | None:
        """Return the entry of a client account, or None."""
        return self.account_by_name.get(name)

    @cached_property
    def account_by_name(self) -> dict[str, AccountEntry]:
        """Client account entries by name; cached for each request's lookup."""
        return {account.name: account for account in self.accounts}
