"""The command line, assembled from one module for each command."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from pollenloom.console.commands.check_command import CheckCommand
from pollenloom.console.commands.publish_command import PublishCommand

# A new command: import its class above and add it to this union.
AnyCommand = CheckCommand | PublishCommand


@cappa.command(
    name='pollenloom',
    help='Router fleet that shares model and application capacity fairly.',
    description=(
        'Exit codes: 0 ok, 1 failure, 2 usage, 3 invalid file, 4 lost to'
        ' another publisher, 5 platform unavailable or result unknown.'
    ),
)
@dataclass(frozen=True)
class Application:
    """The command that was asked for."""

    command: Annotated[AnyCommand, cappa.Subcommand]
