"""What operators ask for through the store."""

from dataclasses import dataclass

from pollenloom.core.ids import DataCentreId
from pollenloom.routing.routing_configuration import RoutingConfiguration


@dataclass(frozen=True, slots=True)
class NewConfiguration:
    """A configuration in full."""

    configuration: RoutingConfiguration


@dataclass(frozen=True, slots=True)
class DataCentreDirective:
    """Take a data centre out of service, or back."""

    data_centre: DataCentreId
    is_out: bool


@dataclass(frozen=True, slots=True)
class UnrelatedChange:
    """A record that does not concern this router."""

    key: str


OperatorChange = NewConfiguration | DataCentreDirective | UnrelatedChange
