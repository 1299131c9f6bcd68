"""What `pollenloom drain` and `pollenloom restore` share."""

from dataclasses import dataclass
from typing import Annotated, ClassVar

import cappa

from pollenloom.console.command_end import command_end
from pollenloom.console.exit_code import ExitCode
from pollenloom.console.operator_options import OperatorOptions
from pollenloom.core.ids import DataCentreId
from pollenloom.core.states import DataCentreState
from pollenloom.operations.data_centre_change_progress import (
    DataCentreChangeProgress,
)


@dataclass(kw_only=True)
class DataCentreCommand(OperatorOptions):
    """Sets the state of a data centre."""

    state: ClassVar[DataCentreState]

    data_centre: Annotated[
        str,
        cappa.Arg(value_name='DATA_CENTRE', help='Id of the data centre.'),
    ]

    def __call__(self) -> None:
        """Change the state and tell how far it has spread."""
        change = self.wait_for(
            self.client().set_data_centre_state(
                DataCentreId(self.data_centre),
                self.state,
            ),
        )
        self.show(change, describe(change))
        if change.missing:
            raise command_end(
                f'Not confirmed by: {", ".join(change.missing)}. A router '
                'that is cut off takes the change over when it rejoins; '
                '`pollenloom status` shows which have it.',
                code=ExitCode.INCOMPLETE,
            )


def describe(change: DataCentreChangeProgress) -> str:
    """Return the outcome as a sentence."""
    out = change.state is DataCentreState.OUT
    return (
        f'{change.data_centre} is {"out of" if out else "in"} service on '
        f'{change.routers_with_state} of {change.routers} routers.'
    )
