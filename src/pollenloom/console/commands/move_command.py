"""`pollenloom move`."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from pollenloom.console.command_exit import command_exit
from pollenloom.console.exit_code import ExitCode
from pollenloom.console.operator_options import OperatorOptions
from pollenloom.console.status_tables import move_table


@cappa.command(
    name='move',
    help='Show the state of version moves.',
    description='Shows for each version move whether it waits for its start, '
    'runs (and at which stage), is done or was reverted (taken_back), with '
    'the evidence. `pollenloom explain <move>` shows its history.',
)
@dataclass(kw_only=True)
class MoveCommand(OperatorOptions):
    """Shows the state of version moves."""

    move: Annotated[
        str,
        cappa.Arg(
            value_name='MOVE',
            help='Id of one move. Default: all moves.',
        ),
    ] = ''

    def __call__(self) -> None:
        """Request the status and print the moves.

        Raises:
            cappa.Exit: If the request failed or there is no such move.
        """
        status = self.wait_for(self.client().status())
        moves = tuple(
            move for move in status.moves if self.move in {'', move.move}
        )
        if self.move and not moves:
            known = ', '.join(move.move for move in status.moves)
            raise command_exit(
                f'No move named {self.move!r} is configured. '
                f'Known moves: {known or "none"}.',
                code=ExitCode.NOT_FOUND,
            )
        self.show(moves, move_table(moves))
