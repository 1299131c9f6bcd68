"""Changes that operators make through the store."""

from dataclasses import dataclass

from pollenloom.core.ids import DataCentreId
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
class UnrelatedChange:
    """A record that does not concern this router."""

    key: str


OperatorChange = NewConfiguration | DataCentreDirective | UnrelatedChange
