"""The short file beside a service's code."""

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
    """What operators state about one service.

    Attributes:
        service: Id of the service; for a model also the model's name.
        resource: Resource it consumes.
        shutdown_date: Time from which it refuses all requests.
        data_centres: Data centres that serve it.
        versions: Versions whose backend servers may get requests.
        cross_data_centre: Whether capacity in other data centres may be used.
        deduplicates: Whether its servers check idempotency keys themselves.
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
        """Reject doubled names and versions that a move does not find."""
        counts = Counter(account.name for account in self.accounts)
        doubled = sorted(name for name, count in counts.items() if count > 1)
        if doubled:
            raise ValueError(f'accounts listed twice: {", ".join(doubled)}')
        if self.resource is Resource.APPLICATION and not self.routes:
            raise ValueError('an application needs at least one route')
        if self.move is None:
            return self
        for version in (self.move.from_version, self.move.to_version):
            if version not in self.versions:
                raise ValueError(f'move names unknown version {version!r}')
        return self

    def find_route(self, method: str, path: str) -> RouteEntry | None:
        """Return the first route that matches a call."""
        for route in self.routes:
            if route.matches(method, path):
                return route
        return None

    def find_account(self, name: str) -> AccountEntry | None:
        """Return the entry of a client account."""
        return self.account_by_name.get(name)

    @cached_property
    def account_by_name(self) -> dict[str, AccountEntry]:
        """Entries of all accounts; each request looks its account up."""
        return {account.name: account for account in self.accounts}
