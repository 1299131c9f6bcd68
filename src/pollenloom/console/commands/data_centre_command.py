"""Base class of `pollenloom drain` and `pollenloom restore`."""

from dataclasses import dataclass
from typing import Annotated, ClassVar

import cappa

from pollenloom.console.command_exit import command_exit
from pollenloom.console.exit_code import ExitCode
from pollenloom.console.operator_options import OperatorOptions
from pollenloom.core.ids import DataCentreId
from pollenloom.core.states import DataCentreState
from pollenloom.operations.data_centre_change_progress import (
    DataCentreChangeProgress,
)


@dataclass(kw_only=True)
class DataCentreCommand(OperatorOptions):
    """Sets the state of a data centre.

    Attributes:
        state: State that the command sets.
        data_centre: Id of the data centre.
    """

    state: ClassVar[DataCentreState]

    data_centre: Annotated[
        str,
        cappa.Arg(value_name='DATA_CENTRE', help='Id of the data centre.'),
    ]

    def __call__(self) -> None:
        """Change the state and print how many routers have it.

        Raises:
            cappa.Exit: If the request failed or routers did not confirm it.
        """
        change = self.wait_for(
            self.client().set_data_centre_state(
                DataCentreId(self.data_centre),
                self.state,
            ),
        )
        self.show(change, describe(change))
        if change.missing:
            raise command_exit(
                f'Not confirmed by: {", ".join(change.missing)}. A router '
                'that is disconnected applies the change when it rejoins; '
                '`pollenloom status` shows which routers have it.',
                code=ExitCode.INCOMPLETE,
            )


def describe(change: DataCentreChangeProgress) -> str:
    """Return the outcome as a sentence."""
    out = change.state is DataCentreState.OUT
    return (
        f'{change.data_centre} is {"out of" if out else "in"} service on '
        f'{change.routers_with_state} of {change.routers} routers.'
    )
