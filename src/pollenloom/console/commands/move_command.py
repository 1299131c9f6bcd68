"""`pollenloom move`."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from pollenloom.console.command_end import command_end
from pollenloom.console.exit_code import ExitCode
from pollenloom.console.operator_options import OperatorOptions
from pollenloom.console.status_tables import move_table


@cappa.command(
    name='move',
    help='Show the state of version moves.',
    description='Shows for each version move whether it waits for its start, '
    'runs (and at which stage), is done or was taken back, with the evidence. '
    '`pollenloom explain <move>` shows how it came to that.',
)
@dataclass(kw_only=True)
class MoveCommand(OperatorOptions):
    """Show the state of version moves."""

    move: Annotated[
        str,
        cappa.Arg(
            value_name='MOVE',
            help='Id of one move. Default: all moves.',
        ),
    ] = ''

    def __call__(self) -> None:
        """Ask and print."""
        status = self.wait_for(self.client().status())
        moves = tuple(
            move for move in status.moves if self.move in {'', move.move}
        )
        if self.move and not moves:
            known = ', '.join(move.move for move in status.moves)
            raise command_end(
                f'No move named {self.move!r} is configured. '
                f'Known moves: {known or "none"}.',
                code=ExitCode.NOT_FOUND,
            )
        self.show(moves, move_table(moves))
