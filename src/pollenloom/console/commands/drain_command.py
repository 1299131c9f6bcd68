"""`pollenloom drain`."""

from dataclasses import dataclass
from typing import ClassVar

import cappa

from pollenloom.console.commands.data_centre_command import DataCentreCommand
from pollenloom.core.states import DataCentreState


@cappa.command(
    name='drain',
    help='Take a data centre out of service.',
    description='The backend servers of the data centre get no new work; '
    'requests in progress are finished. Works while the platform is down. '
    'Undo it with `pollenloom restore`.',
)
@dataclass(kw_only=True)
class DrainCommand(DataCentreCommand):
    """Takes a data centre out of service."""

    state: ClassVar[DataCentreState] = DataCentreState.OUT
