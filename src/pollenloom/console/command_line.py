"""The command line, with one module for each command."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from pollenloom.console.commands.check_command import CheckCommand
from pollenloom.console.commands.check_configuration_command import (
    CheckConfigurationCommand,
)
from pollenloom.console.commands.drain_command import DrainCommand
from pollenloom.console.commands.duties_command import DutiesCommand
from pollenloom.console.commands.explain_command import ExplainCommand
from pollenloom.console.commands.move_command import MoveCommand
from pollenloom.console.commands.node_command import NodeCommand
from pollenloom.console.commands.publish_command import PublishCommand
from pollenloom.console.commands.restore_command import RestoreCommand
from pollenloom.console.commands.router_command import RouterCommand
from pollenloom.console.commands.status_command import StatusCommand
from pollenloom.console.exit_code import exit_code_list

# To add a command, import its class and add it to this union.
AnyCommand = (
    CheckCommand
    | CheckConfigurationCommand
    | DrainCommand
    | DutiesCommand
    | ExplainCommand
    | MoveCommand
    | NodeCommand
    | PublishCommand
    | RestoreCommand
    | RouterCommand
    | StatusCommand
)


@cappa.command(
    name='pollenloom',
    help='Router fleet that shares model and application capacity fairly.',
    description=exit_code_list(),
)
@dataclass(frozen=True)
class CommandLine:
    """Arguments of the program.

    Attributes:
        command: The selected command with its options.
    """

    command: Annotated[AnyCommand, cappa.Subcommand]
