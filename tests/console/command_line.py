"""The commands for operators as one program, for tests."""

from dataclasses import dataclass

import cappa

from pollenloom.console.commands.drain_command import DrainCommand
from pollenloom.console.commands.explain_command import ExplainCommand
from pollenloom.console.commands.move_command import MoveCommand
from pollenloom.console.commands.restore_command import RestoreCommand
from pollenloom.console.commands.router_command import RouterCommand
from pollenloom.console.commands.status_command import StatusCommand


@dataclass
class OperatorCommands:
    """The commands that the tests run."""

    command: cappa.Subcommands[
        DrainCommand
        | ExplainCommand
        | MoveCommand
        | RestoreCommand
        | RouterCommand
        | StatusCommand
    ]


def run(*arguments: str) -> int:
    """Run a command as the program does; return its exit code."""
    try:
        cappa.invoke(OperatorCommands, argv=list(arguments), color=False)
    except SystemExit as end:
        return int(end.code or 0)
    return 0
