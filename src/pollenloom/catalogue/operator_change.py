"""Changes that operators make through the store."""

from dataclasses import dataclass

from pollenloom.core.ids import (
    NO_ERA,
    DataCentreId,
    Offset,
    ServiceId,
    StoreEra,
    VersionId,
)
from pollenloom.routing.routing_configuration import RoutingConfiguration


@dataclass(frozen=True, slots=True)
class NewConfiguration:
    """A complete new configuration."""

    configuration: RoutingConfiguration


@dataclass(frozen=True, slots=True)
class DataCentreDirective:
    """Takes a data centre out of service, or returns it to service.

    Attributes:
        is_out: Whether the data centre is to be out of service.
    """

    data_centre: DataCentreId
    is_out: bool


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """Order to move the traffic of a service to another version.

    Attributes:
        service: Service whose traffic moves.
        to_version: Version that replaces all others; None if the order is
            withdrawn.
        seconds: Time after which the move must have ended.
        offset: Position of the order in the store; tells repeated orders apart.
        era: Era of the store in which it was read first.
    """

    service: ServiceId
    to_version: VersionId | None
    seconds: float
    offset: Offset
    era: StoreEra = NO_ERA


@dataclass(frozen=True, slots=True)
class UnrelatedChange:
    """A record that does not concern this router."""

    key: str


OperatorChange = (
    NewConfiguration | DataCentreDirective | MoveOrder | UnrelatedChange
)
