"""`pollenloom restore`."""

from dataclasses import dataclass
from typing import ClassVar

import cappa

from pollenloom.console.commands.data_centre_command import DataCentreCommand
from pollenloom.core.states import DataCentreState


@cappa.command(
    name='restore',
    help='Bring a data centre back into service.',
    description='The backend servers of the data centre may get new work '
    'again. Works while the platform is down.',
)
@dataclass(kw_only=True)
class RestoreCommand(DataCentreCommand):
    """Brings a data centre back into service."""

    state: ClassVar[DataCentreState] = DataCentreState.IN_SERVICE
